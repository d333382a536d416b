package sim

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
)

const (
	// process is what a message costs beside the way: encoding, waking up, decoding.
	process = 200 * time.Microsecond
	// notice is how long it takes daemons to see that their dispatcher died.
	notice = 5 * time.Millisecond
)

// desk is the dispatcher at a daemon.
type desk struct {
	d *daemon
	*dispatcher.Dispatcher
	wake time.Time
	life int
}

func newDesk(d *daemon) *desk {
	w := d.w
	k := &desk{d: d, Dispatcher: dispatcher.New(pool, w.o.Dispatch(d.pool(), uint64(d.n)+1)), life: d.life}
	k.SetTargets(w.loop.Now(), w.list())
	k.SetShare(w.loop.Now(), d.share)
	return k
}

// client is a daemon's side of its session.
type client struct {
	d    *daemon
	r    *remote.Scheduler
	to   *desk
	id   uint64
	busy bool
}

// choose turns to the dispatcher of the group: the first daemon of it.
func (c *client) choose() {
	if c.d.client != c {
		return // the daemon was restarted
	}
	first := c.d
	for _, o := range c.d.mates {
		if o.n < first.n {
			first = o
		}
	}
	if c.to != nil && c.to == first.desk {
		return
	}
	if first.desk == nil {
		first.desk = newDesk(first)
	}
	c.to = first.desk
	c.id++
	c.busy = false
	now := c.d.w.loop.Now()
	c.r.Attach(now)
	to, id := c.to, c.id
	c.d.w.loop.After(c.way(), func() {
		if c.d.client == c && c.id == id {
			to.OpenSession(c.d.w.loop.Now(), c.d.name, id)
		}
	})
	c.flush()
}

// lose is the end of the dispatcher.
func (c *client) lose() {
	if c.d.client != c {
		return
	}
	c.to = nil
	c.d.shed(c.r.Detach(c.d.w.loop.Now(), nil))
	c.d.pump()
	c.d.w.loop.After(notice, func() { c.choose() })
}

// way is the time of a message to the dispatcher.
func (c *client) way() time.Duration {
	if c.to.d == c.d {
		return process
	}
	return c.d.w.o.Fleet.Hop.Std() + process
}

// flush sends the news, one message at a time.
func (c *client) flush() {
	if c.to == nil || c.busy {
		return
	}
	news := c.r.News()
	if news.Empty() {
		return
	}
	c.busy = true
	to, id, loop := c.to, c.id, c.d.w.loop
	loop.After(c.way(), func() {
		if to.life != to.d.life || c.id != id {
			return
		}
		to.Apply(loop.Now(), c.d.name, &news)
		turns := to.TakeDecisions(c.d.name)
		to.push()
		loop.After(c.back(to), func() {
			if c.to != to || c.id != id {
				return
			}
			c.busy = false
			c.deliver(turns)
			c.flush()
		})
	})
}

func (c *client) back(to *desk) time.Duration {
	if to.d == c.d {
		return process
	}
	return c.d.w.o.Fleet.Hop.Std() + process
}

func (c *client) deliver(turns []fireflypath.Decision) {
	c.d.shed(c.r.ApplyDecisions(c.d.w.loop.Now(), turns, nil))
	c.d.pump()
}

// push tells all daemons what was decided for them, and sets the next wake.
func (k *desk) push() {
	loop := k.d.w.loop
	for _, name := range k.Sessions() {
		turns := k.TakeDecisions(name)
		o := k.d.w.byName(name)
		if len(turns) == 0 || o == nil || o.client == nil {
			continue
		}
		id := o.client.id
		loop.After(o.client.back(k), func() {
			if o.client != nil && o.client.to == k && o.client.id == id {
				o.client.deliver(turns)
				o.client.flush()
			}
		})
	}
	at := k.Wake(loop.Now())
	if at.IsZero() {
		return
	}
	if soonest := loop.Now().Add(time.Millisecond); at.Before(soonest) {
		at = soonest
	}
	if k.wake.After(loop.Now()) && !at.Before(k.wake) {
		return
	}
	k.wake = at
	loop.At(at, func() {
		if k.life != k.d.life || !k.wake.Equal(at) {
			return
		}
		k.Tick(loop.Now())
		k.push()
	})
}
