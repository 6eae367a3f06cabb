package settings

import (
	"fmt"
	"log/slog"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// key is one setting: where it stands in the file, what it may be, and where its value goes.
type key[S any] struct {
	section string
	name    string
	// example is used by Example, and as the default where required is false.
	example  string
	required bool
	allowed  string
	meaning  string
	set      func(s *S, value string) bool
}

func text[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		return value != ""
	}
}

func address[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		_, err = strconv.ParseUint(port, 10, 16)
		return err == nil
	}
}

func baseURL[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		u, err := url.Parse(value)
		return err == nil && u.Scheme == "http" && net.ParseIP(u.Hostname()) != nil && u.Port() != "" && u.Path == ""
	}
}

func whole[S any, T int | int64](field func(*S) *T, least, most T) func(*S, string) bool {
	return func(s *S, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		*field(s) = T(n)
		return err == nil && n >= int64(least) && n <= int64(most)
	}
}

func duration[S any](field func(*S) *time.Duration, least, most time.Duration) func(*S, string) bool {
	return func(s *S, value string) bool {
		d, err := time.ParseDuration(value)
		*field(s) = d
		return err == nil && d >= least && d <= most
	}
}

func level[S any](field func(*S) *slog.Level) func(*S, string) bool {
	return func(s *S, value string) bool {
		return field(s).UnmarshalText([]byte(value)) == nil
	}
}

func fraction[S any](field func(*S) *float64, least, most float64) func(*S, string) bool {
	return func(s *S, value string) bool {
		f, err := strconv.ParseFloat(value, 64)
		*field(s) = f
		return err == nil && f >= least && f <= most
	}
}

func truth[S any](field func(*S) *bool) func(*S, string) bool {
	return func(s *S, value string) bool {
		b, err := strconv.ParseBool(value)
		*field(s) = b
		return err == nil
	}
}

// pairs reads name:value pairs joined by commas.
func pairs[S any](field func(*S) *map[string]string) func(*S, string) bool {
	return func(s *S, value string) bool {
		read := make(map[string]string)
		*field(s) = read
		for _, pair := range strings.Split(value, ",") {
			name, text, ok := strings.Cut(strings.TrimSpace(pair), ":")
			if !ok || name == "" || text == "" {
				return false
			}
			read[name] = text
		}
		return true
	}
}

func between[T any](least, most T) string { return fmt.Sprintf("%v to %v", least, most) }

const (
	nameAllowed    = "any text but the empty one"
	addressAllowed = "an IP address and a port, such as 10.0.0.1:8080"
	urlAllowed     = "http, an IP address and a port, such as http://10.0.0.9:7000"
)
