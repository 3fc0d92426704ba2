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

// checker checks the tables of a settings file and keeps the first error.
type checker struct {
	*tomlfile.File                        // the daemon's file
	overlay        *Overlay               // the policy that is laid over the file; nil: none
	origins        map[string]tableOrigin // the origins of the classes of the service that is being checked
	err            error
}

// locate returns the file that sets a key, and the key's name in that file. The file is the daemon's own, the global
// part of the policy, or a service's part.
func (c *checker) locate(key string) (*tomlfile.File, string) {
	if end := strings.Index(key, "]"); end >= 0 {
		table, rest := key[:end+1], key[end+1:]
		origin, ok := c.origins[table]
		if !ok && c.overlay != nil {
			origin, ok = c.overlay.origins[table]
		}
		if ok && origin.file != nil {
			return origin.file, origin.key + rest
		}
	}
	if c.overlay.hasKey(key) {
		return c.overlay.file, key
	}
	return c.File, key
}

// Has reports whether a key is set.
func (c *checker) Has(key string) bool {
	file, located := c.locate(key)
	return file.Has(located)
}

// fail records an error at a key, unless one is recorded already.
func (c *checker) fail(key, format string, args ...any) {
	if c.err == nil {
		file, located := c.locate(key)
		c.err = file.Errorf(located, format, args...)
	}
}

// duration returns the value of a key, or the default if the key is not set. A negative value is an error.
func (c *checker) duration(key string, d tomlfile.Duration, defaultSpan time.Duration) time.Duration {
	if d.D() < 0 {
		c.fail(key, "%v is negative", d)
	}
	if d.D() == 0 && !c.Has(key) {
		return defaultSpan
	}
	return d.D()
}

// positiveDuration is like duration, but 0 is an error too.
func (c *checker) positiveDuration(key string, d tomlfile.Duration, defaultSpan time.Duration) time.Duration {
	span := c.duration(key, d, defaultSpan)
	if span <= 0 {
		c.fail(key, "%v: a time above 0 is needed", span)
	}
	return span
}

// choice returns the index of a name in the list of known names. An unknown name is an error, for which choice
// returns 0.
func (c *checker) choice(key, name string, known []string) int {
	i := slices.Index(known, name)
	if i < 0 {
		c.fail(key, "%q is none of %s", name, strings.Join(known, ", "))
		return 0
	}
	return i
}

// maxUnixPathBytes is a length that every system allows for the path of a Unix socket (unix(7): Linux allows 108
// bytes with the terminating null byte).
const maxUnixPathBytes = 100

// address parses "127.0.0.1:80", "tcp:127.0.0.1:80" or "unix:/path".
func (c *checker) address(key, text string) Address {
	if path, ok := strings.CutPrefix(text, "unix:"); ok {
		if path == "" || len(path) > maxUnixPathBytes {
			c.fail(key, "%q: a path of 1 to %d bytes is needed", text, maxUnixPathBytes)
		}
		return Address{"unix", path}
	}
	text = strings.TrimPrefix(text, "tcp:")
	c.hostPort(key, text)
	return Address{"tcp", text}
}

// hostPort checks an IP address with a port.
func (c *checker) hostPort(key, text string) {
	if text == "" {
		c.fail(key, "missing: an address such as 127.0.0.1:7000 is needed")
		return
	}
	if err := checkHostPort(text); err != nil {
		c.fail(key, "%q: %v", text, err)
	}
}

// maxPort is the highest port of TCP and UDP.
const maxPort = 1<<16 - 1

func checkHostPort(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return err
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > maxPort {
		return fmt.Errorf("%q is not a port number", port)
	}
	return nil
}
