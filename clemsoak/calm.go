package clemsoak

import (
	"sync"
	"time"
)

// calm tells for how long something was left undisturbed.
type calm struct {
	mu sync.Mutex
	// active is the number of disturbances that last, ended when the last one ended.
	active int
	ended  time.Time
}

// begin notes a disturbance that lasts until the returned function is called.
func (c *calm) begin() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.active--
		c.ended = time.Now()
	}
}

// disturb notes a disturbance of a moment.
func (c *calm) disturb() { c.begin()() }

// holds reports whether nothing was disturbed for the time before now.
func (c *calm) holds(span time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.active == 0 && time.Since(c.ended) > span
}

// during returns the end of a fault that disturbs it from now on. The restore
// function ends the fault itself and may be nil.
func (c *calm) during(restore func()) func() {
	end := c.begin()
	return func() {
		if restore != nil {
			restore()
		}
		end()
	}
}
