package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"
)

// key is one setting: where it stands in the file, what it may be, and where its value goes.
type key struct {
	section string
	name    string
	// example is used by Example, and as the default where required is false.
	example  string
	required bool
	allowed  string
	meaning  string
	set      func(s *Settings, value string) bool
}

func text(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*field(s) = value
		return value != ""
	}
}

func address(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*field(s) = value
		host, port, err := net.SplitHostPort(value)
		if err != nil || net.ParseIP(host) == nil {
			return false
		}
		_, err = strconv.ParseUint(port, 10, 16)
		return err == nil
	}
}

func baseURL(field func(*Settings) *string) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		*field(s) = value
		u, err := url.Parse(value)
		return err == nil && u.Scheme == "http" && net.ParseIP(u.Hostname()) != nil && u.Port() != "" && u.Path == ""
	}
}

func whole[T int | int64](field func(*Settings) *T, least, most T) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		*field(s) = T(n)
		return err == nil && n >= int64(least) && n <= int64(most)
	}
}

func duration(field func(*Settings) *time.Duration, least, most time.Duration) func(*Settings, string) bool {
	return func(s *Settings, value string) bool {
		d, err := time.ParseDuration(value)
		*field(s) = d
		return err == nil && d >= least && d <= most
	}
}

func level(s *Settings, value string) bool {
	return s.Log.Level.UnmarshalText([]byte(value)) == nil
}

func between[T any](least, most T) string { return fmt.Sprintf("%v to %v", least, most) }

const (
	nameAllowed    = "any text but the empty one"
	addressAllowed = "an IP address and a port, such as 10.0.0.1:8080"
	urlAllowed     = "http, an IP address and a port, such as http://10.0.0.9:7000"
)
