package fleet

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"vetchhaven/internal/tomlfile"
)

type checker struct {
	*tomlfile.File
	over *overlay // a policy, of which some keys are; nil: none
	err  error
}

// of is where a key stands: in the daemon's file, or in the policy.
func (c *checker) of(key string) *tomlfile.File {
	if c.over.holds(key) {
		return c.over.file
	}
	return c.File
}

// Has reports whether a key is set.
func (c *checker) Has(key string) bool { return c.of(key).Has(key) }

func (c *checker) fail(key, format string, args ...any) {
	if c.err == nil {
		c.err = c.of(key).Errorf(key, format, args...)
	}
}

func (c *checker) wait(key string, d tomlfile.Duration, instead time.Duration) time.Duration {
	if d.D() < 0 {
		c.fail(key, "%v is negative", d)
	}
	if d.D() == 0 && !c.Has(key) {
		return instead
	}
	return d.D()
}

func (c *checker) span(key string, d tomlfile.Duration, instead time.Duration) time.Duration {
	v := c.wait(key, d, instead)
	if v <= 0 {
		c.fail(key, "%v: a time above 0 is needed", v)
	}
	return v
}

func (c *checker) name(key, name string, known []string) int {
	i := slices.Index(known, name)
	if i < 0 {
		c.fail(key, "%q is none of %s", name, strings.Join(known, ", "))
		return 0
	}
	return i
}

// address reads "127.0.0.1:80", "tcp:127.0.0.1:80" or "unix:/path".
func (c *checker) address(key, text string) Address {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if path == "" || len(path) > 100 {
			c.fail(key, "%q: a path of 1 to 100 bytes is needed", text)
		}
		return Address{"unix", path}
	}
	text = strings.TrimPrefix(text, "tcp:")
	c.hostPort(key, text)
	return Address{"tcp", text}
}

func (c *checker) hostPort(key, text string) {
	if text == "" {
		c.fail(key, "missing: an address such as 127.0.0.1:7000 is needed")
		return
	}
	host, port, err := net.SplitHostPort(text)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is not an IP address", host)
	}
	if n, bad := strconv.Atoi(port); err == nil && (bad != nil || n < 1 || n > 65535) {
		err = fmt.Errorf("%q is no port", port)
	}
	if err != nil {
		c.fail(key, "%q: %v", text, err)
	}
}
