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

// key describes one setting: its section and name in the file, its allowed values, and the field that it sets.
type key[S any] struct {
	section string
	name    string
	// example is the value in the example file, and the default unless the setting is required.
	example     string
	required    bool
	allowed     string
	description string
	// set stores value in s and reports whether it is allowed.
	set func(s *S, value string) bool
}

func nonEmpty[S any](field func(*S) *string) func(*S, string) bool {
	return func(s *S, value string) bool {
		*field(s) = value
		return value != ""
	}
}

func ipAndPort[S any](field func(*S) *string) func(*S, string) bool {
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

func integer[S any, T int | int64](field func(*S) *T, minimum, maximum T) func(*S, string) bool {
	return func(s *S, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		*field(s) = T(n)
		return err == nil && n >= int64(minimum) && n <= int64(maximum)
	}
}

func duration[S any](field func(*S) *time.Duration, minimum, maximum time.Duration) func(*S, string) bool {
	return func(s *S, value string) bool {
		d, err := time.ParseDuration(value)
		*field(s) = d
		return err == nil && d >= minimum && d <= maximum
	}
}

func logLevel[S any](field func(*S) *slog.Level) func(*S, string) bool {
	return func(s *S, value string) bool {
		return field(s).UnmarshalText([]byte(value)) == nil
	}
}

func decimal[S any](field func(*S) *float64, minimum, maximum float64) func(*S, string) bool {
	return func(s *S, value string) bool {
		f, err := strconv.ParseFloat(value, 64)
		*field(s) = f
		return err == nil && f >= minimum && f <= maximum
	}
}

func boolean[S any](field func(*S) *bool) func(*S, string) bool {
	return func(s *S, value string) bool {
		b, err := strconv.ParseBool(value)
		*field(s) = b
		return err == nil
	}
}

// stringMap parses comma-separated name:value pairs.
func stringMap[S any](field func(*S) *map[string]string) func(*S, string) bool {
	return func(s *S, value string) bool {
		result := make(map[string]string)
		*field(s) = result
		for _, pair := range strings.Split(value, ",") {
			name, element, ok := strings.Cut(strings.TrimSpace(pair), ":")
			if !ok || name == "" || element == "" {
				return false
			}
			result[name] = element
		}
		return true
	}
}

func between[T any](minimum, maximum T) string {
	return fmt.Sprintf("a value from %v to %v", minimum, maximum)
}

const (
	nameAllowed    = "any non-empty text"
	addressAllowed = "an IP address and a port, such as 10.0.0.1:8080"
	urlAllowed     = "an http URL with an IP address and a port, such as http://10.0.0.9:7000"
)
