package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/route/pool"
)

// client has a dispatcher decide about one pool's work.
type client struct {
	d     *Dispatch
	pool  *pool.Pool
	name  string
	sched *remote.Scheduler

	// The fields below belong to run.
	// to is the dispatcher; its name is empty while there is none.
	to    fireflypath.Member
	avoid map[string]time.Time
	// lost is when the last dispatcher was lost.
	lost time.Time
	// told is when it was last told anything.
	told time.Time

	mu sync.Mutex
	// session is 0 while there is none.
	session uint64
}

// run speaks to the dispatcher until the context ends, one message at a time: what
// happens meanwhile goes with the next.
func (c *client) run(ctx context.Context) {
	t := c.d.clock.NewTicker(stepEvery)
	defer t.Stop()
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			c.leave(c.to, c.current())
			return
		case <-c.sched.Kicks():
		case <-t.Chan():
		}
	}
}

// step chooses the dispatcher and tells it what is new.
func (c *client) step(ctx context.Context) {
	if !c.choose(ctx) {
		return
	}
	var news fireflypath.News
	waits := false
	c.pool.Update(func(_ time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		news, waits = c.sched.News(), c.sched.Waits()
		return out
	})
	beat := beatIdle
	if waits {
		beat = beatWaiting
	}
	if news.Empty() && c.d.clock.Since(c.told) < beat {
		return
	}
	c.told = c.d.clock.Now()
	turns, err := c.send(ctx, c.to, newsMessage{Pool: c.name, Session: c.current(), News: news})
	if err != nil {
		c.lose(ctx, err)
		return
	}
	c.deliver(&turns)
}

// choose turns to the best dispatcher that answers, and reports whether there is one.
func (c *client) choose(ctx context.Context) bool {
	for ctx.Err() == nil {
		best, ok := c.best()
		if ok && best.Name == c.to.Name {
			return true
		}
		if !ok || c.to.Name == "" && c.d.clock.Since(c.lost) > aloneAfter {
			c.alone()
		}
		if !ok {
			return false
		}
		if c.attach(ctx, best) {
			return true
		}
	}
	return false
}

// best is the first daemon that answered lately.
func (c *client) best() (fireflypath.Member, bool) {
	now := c.d.clock.Now()
	for _, m := range c.d.candidates() {
		if now.After(c.avoid[m.Name]) {
			return m, true
		}
	}
	return fireflypath.Member{}, false
}

// attach turns to a dispatcher. Work is handed over only once it has answered: to one
// that is gone it would be lost for as long as its silence takes to be noticed.
func (c *client) attach(ctx context.Context, to fireflypath.Member) bool {
	session := rand.Uint64()
	if _, err := c.send(ctx, to, newsMessage{Pool: c.name, Session: session, First: true}); err != nil {
		c.shun(to, err)
		return false
	}
	old, last := c.to, c.current()
	c.to, c.told = to, time.Time{}
	c.begin(session)
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		c.sched.Attach(now)
		return out
	})
	c.d.count.attached.Inc(1)
	c.d.log.Info("dispatcher chosen", zap.String("pool", c.name), zap.String("dispatcher", to.Name))
	c.leave(old, last)
	return true
}

// lose is the end of a dispatcher that does not answer. Its work is kept back for as
// long as another one takes to be found: all daemons of a group lose it together, and
// if each sent off what it holds by its own lights, the targets would be overrun.
func (c *client) lose(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.shun(c.to, err)
	c.d.count.lost.Inc(1)
	c.to = fireflypath.Member{}
	c.begin(0)
	c.lost = c.d.clock.Now()
	c.choose(ctx)
}

// shun keeps a daemon from being asked for a while.
func (c *client) shun(m fireflypath.Member, err error) {
	if m.Name != c.d.self {
		c.avoid[m.Name] = c.d.clock.Now().Add(avoidTime)
	}
	c.d.log.Warn("dispatcher does not answer", zap.String("pool", c.name), zap.String("dispatcher", m.Name), logs.Cause(err))
}

// alone has this daemon decide.
func (c *client) alone() {
	c.to = fireflypath.Member{}
	c.begin(0)
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		if !c.sched.Attached() {
			return out
		}
		c.d.log.Warn("no dispatcher, this daemon decides", zap.String("pool", c.name))
		return c.sched.Detach(now, out)
	})
}

// leave ends the session of a dispatcher that another one took the place of.
func (c *client) leave(old fireflypath.Member, session uint64) {
	if old.Name == "" || session == 0 {
		return
	}
	m := newsMessage{Pool: c.name, Session: session, End: true}
	c.d.spawn(func() {
		// One that does not hear of it forgets this daemon after a while.
		_, _ = c.send(c.d.ctx, old, m)
	})
}

func (c *client) current() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

func (c *client) begin(session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
}

func (c *client) send(ctx context.Context, to fireflypath.Member, m newsMessage) (turnsMessage, error) {
	if to.Name == c.d.self {
		return c.d.take(c.d.self, &m)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var out turnsMessage
	err := c.d.peers.Call(ctx, to, methodNews, m, &out)
	return out, err
}

// deliver takes decisions in; it reports false if they are of another session.
func (c *client) deliver(m *turnsMessage) bool {
	c.mu.Lock()
	known := c.session != 0 && c.session == m.Session
	c.mu.Unlock()
	if !known {
		return false
	}
	if len(m.Turns) > 0 {
		c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
			return c.sched.Deliver(now, m.Turns, out)
		})
	}
	return true
}
