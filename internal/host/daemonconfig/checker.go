package daemonconfig

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
	overlay *Overlay               // a policy, of which some keys are; nil: none
	origins map[string]tableOrigin // of the classes of the service that is looked at
	err     error
}

// locate is where a key stands, and by which key there: in the daemon's file, in the part of the policy for all, or in a service's.
func (c *checker) locate(key string) (*tomlfile.File, string) {
	if end := strings.Index(key, "]"); end >= 0 {
		at, ok := c.origins[key[:end+1]]
		if !ok && c.overlay != nil {
			at, ok = c.overlay.origins[key[:end+1]]
		}
		if ok && at.file != nil {
			return at.file, at.key + key[end+1:]
		}
	}
	if c.overlay.hasKey(key) {
		return c.overlay.file, key
	}
	return c.File, key
}

// Has reports whether a key is set.
func (c *checker) Has(key string) bool {
	file, at := c.locate(key)
	return file.Has(at)
}

func (c *checker) fail(key, format string, args ...any) {
	if c.err == nil {
		file, at := c.locate(key)
		c.err = file.Errorf(at, format, args...)
	}
}

func (c *checker) duration(key string, d tomlfile.Duration, instead time.Duration) time.Duration {
	if d.D() < 0 {
		c.fail(key, "%v is negative", d)
	}
	if d.D() == 0 && !c.Has(key) {
		return instead
	}
	return d.D()
}

func (c *checker) positiveDuration(key string, d tomlfile.Duration, instead time.Duration) time.Duration {
	v := c.duration(key, d, instead)
	if v <= 0 {
		c.fail(key, "%v: a time above 0 is needed", v)
	}
	return v
}

func (c *checker) choice(key, name string, known []string) int {
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
