package sim

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
)

const (
	// messageOverhead is the time to encode a message, wake the receiver and decode it,
	// in addition to network latency.
	messageOverhead = 200 * time.Microsecond
	// failureDetectionDelay is how long daemons need to detect that their dispatcher
	// has died.
	failureDetectionDelay = 5 * time.Millisecond
)

// dispatcherNode is the dispatcher that runs in a daemon.
type dispatcherNode struct {
	d *daemon
	*dispatcher.Dispatcher
	nextWake    time.Time
	incarnation int
}

func newDispatcherNode(d *daemon) *dispatcherNode {
	w := d.w
	k := &dispatcherNode{d: d, Dispatcher: dispatcher.New(poolName, w.options.NewDispatcherScheduler(d.pool(), uint64(d.index)+1)), incarnation: d.incarnation}
	k.SetTargets(w.loop.Now(), w.targetList())
	k.SetShare(w.loop.Now(), d.share)
	return k
}

// dispatchClient is a daemon's side of its session with the dispatcher.
type dispatchClient struct {
	d             *daemon
	scheduler     *remote.Scheduler
	node          *dispatcherNode
	sessionID     uint64
	awaitingReply bool
}

// connect opens a session with the group's dispatcher, which is its first daemon.
func (c *dispatchClient) connect() {
	if c.d.dispatchClient != c {
		return // the daemon was restarted
	}
	first := c.d
	for _, o := range c.d.peers {
		if o.index < first.index {
			first = o
		}
	}
	if c.node != nil && c.node == first.dispatcher {
		return
	}
	if first.dispatcher == nil {
		first.dispatcher = newDispatcherNode(first)
	}
	c.node = first.dispatcher
	c.sessionID++
	c.awaitingReply = false
	now := c.d.w.loop.Now()
	c.scheduler.Attach(now)
	to, id := c.node, c.sessionID
	c.d.w.loop.After(c.requestDelay(), func() {
		if c.d.dispatchClient == c && c.sessionID == id {
			to.OpenSession(c.d.w.loop.Now(), c.d.name, id)
		}
	})
	c.sendUpdates()
}

// handleDispatcherLoss handles the failure of the dispatcher.
func (c *dispatchClient) handleDispatcherLoss() {
	if c.d.dispatchClient != c {
		return
	}
	c.node = nil
	c.d.applySheds(c.scheduler.Detach(c.d.w.loop.Now(), nil))
	c.d.runScheduler()
	c.d.w.loop.After(failureDetectionDelay, func() { c.connect() })
}

// requestDelay returns the latency of a message to the dispatcher.
func (c *dispatchClient) requestDelay() time.Duration {
	if c.node.d == c.d {
		return messageOverhead
	}
	return c.d.w.options.Fleet.Hop.Duration() + messageOverhead
}

// sendUpdates sends pending updates to the dispatcher, with at most one message in
// flight.
func (c *dispatchClient) sendUpdates() {
	if c.node == nil || c.awaitingReply {
		return
	}
	updates := c.scheduler.TakeUpdate(c.d.w.loop.Now())
	if updates.Empty() {
		return
	}
	c.awaitingReply = true
	to, id, loop := c.node, c.sessionID, c.d.w.loop
	loop.After(c.requestDelay(), func() {
		if to.incarnation != to.d.incarnation || c.sessionID != id {
			return
		}
		to.Apply(loop.Now(), c.d.name, &updates)
		notices, decisions := to.TakeNotices(loop.Now(), c.d.name), to.TakeDecisions(c.d.name)
		to.countBorrowed(decisions)
		to.pushDecisions()
		loop.After(c.replyDelay(to), func() {
			if c.node != to || c.sessionID != id {
				return
			}
			c.awaitingReply = false
			c.applyDecisions(notices, decisions)
			c.sendUpdates()
		})
	})
}

func (c *dispatchClient) replyDelay(to *dispatcherNode) time.Duration {
	if to.d == c.d {
		return messageOverhead
	}
	return c.d.w.options.Fleet.Hop.Duration() + messageOverhead
}

func (c *dispatchClient) applyDecisions(notices []fireflypath.TargetNotice, decisions []fireflypath.Decision) {
	c.scheduler.ApplyNotices(c.d.w.loop.Now(), notices)
	c.d.applySheds(c.scheduler.ApplyDecisions(c.d.w.loop.Now(), decisions, nil))
	c.d.runScheduler()
}

// pushDecisions sends pending decisions to the daemons and schedules the next wake-up.
func (k *dispatcherNode) pushDecisions() {
	loop := k.d.w.loop
	for _, name := range k.Sessions() {
		decisions := k.TakeDecisions(name)
		k.countBorrowed(decisions)
		o := k.d.w.findDaemon(name)
		if len(decisions) == 0 || o == nil || o.dispatchClient == nil {
			continue
		}
		id := o.dispatchClient.sessionID
		loop.After(o.dispatchClient.replyDelay(k), func() {
			if o.dispatchClient != nil && o.dispatchClient.node == k && o.dispatchClient.sessionID == id {
				o.dispatchClient.applyDecisions(nil, decisions)
				o.dispatchClient.sendUpdates()
			}
		})
	}
	at := k.Wake(loop.Now())
	if at.IsZero() {
		return
	}
	if earliest := loop.Now().Add(time.Millisecond); at.Before(earliest) {
		at = earliest
	}
	if k.nextWake.After(loop.Now()) && !at.Before(k.nextWake) {
		return
	}
	k.nextWake = at
	loop.At(at, func() {
		if k.incarnation != k.d.incarnation || !k.nextWake.Equal(at) {
			return
		}
		k.Tick(loop.Now())
		k.pushDecisions()
	})
}
