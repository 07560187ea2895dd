package fleet

import (
	"fmt"
	"net/url"
	"strings"
)

// comparableHost returns the form in which hosts are compared: they have no case.
func comparableHost(host string) string {
	for i := range len(host) {
		if lowerByte(host[i]) != host[i] {
			return lowerASCII(host)
		}
	}
	return host
}

// lowerASCII leaves letters outside of ASCII as they are, unlike strings.ToLower.
func lowerASCII(s string) string {
	b := []byte(s)
	for i, c := range b {
		b[i] = lowerByte(c)
	}
	return string(b)
}

func lowerByte(c byte) byte {
	if c >= 'A' && c <= 'Z' {
		return c - 'A' + 'a'
	}
	return c
}

// withoutPort returns a host without its port; ok is false if it has none.
func withoutPort(host string) (name string, ok bool) {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.Trim(host[i+1:], "0123456789") != "" {
		return host, false
	}
	if strings.IndexByte(host[:i], ':') >= 0 && !strings.HasSuffix(host[:i], "]") {
		return host, false // an IPv6 address without brackets
	}
	return host[:i], true
}

// checkHost returns an error if no request can name a host. An HTTP server refuses requests
// whose Host header isn't the host and port of a URL.
func checkHost(host string) error {
	literal := strings.HasPrefix(host, "[") && strings.Count(host, "[") == 1 && strings.Count(host, "]") == 1
	if host == "" || strings.ContainsAny(host, "/?#@\\") || strings.ContainsAny(host, "[]") && !literal {
		return fmt.Errorf("%q is not a host", host)
	}
	if _, err := url.Parse("http://" + host + "/"); err != nil {
		return fmt.Errorf("%q is not a host", host)
	}
	return nil
}
