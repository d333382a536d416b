package sim

import (
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
)

const (
	// pool is the name of the one pool.
	pool = "engines"
	// beatEvery is how often a daemon looks for news to tell, and takes in those of
	// others; flushLag is how long news then wait for a beat.
	beatEvery = 30 * time.Millisecond
	flushLag  = 5 * time.Millisecond
	// maxAttempts bounds how often one attempt of a caller is given to engines.
	maxAttempts = 4
)

// teller is a scheduler that exchanges with those of other daemons.
type teller interface {
	Report(m *fireflypath.PeerLoad)
	UpdatePeers(now time.Time, mates []fireflypath.PeerLoad)
}

// daemon owns one scheduler and carries its decisions out.
type daemon struct {
	w     *world
	name  string
	n     int
	sched fireflypath.Scheduler
	calls map[*fireflypath.Work]*call
	// told is what it told last; heard is what others told, by name.
	told  fireflypath.PeerLoad
	heard map[string]fireflypath.PeerLoad
	mates []*daemon
	place fireflypath.Placement
	wake  time.Time
	life  int
	share fireflypath.Share
	// client and desk are nil where daemons decide alone; desk also at all but the
	// dispatcher.
	client *client
	desk   *desk
}

func newDaemon(w *world, n int) *daemon {
	d := &daemon{w: w, n: n, name: fmt.Sprintf("daemon-%02d", n)}
	d.begin()
	phase := time.Duration(mix(w.o.Seed, n, 3) * float64(beatEvery))
	w.loop.After(phase, d.beat)
	return d
}

// begin makes a daemon that knows nothing.
func (d *daemon) begin() {
	d.life++
	d.sched = d.w.o.Make(d.pool(), xxhash.Sum64String(d.name+"/"+pool))
	d.client, d.desk = nil, nil
	if local, ok := d.sched.(remote.Local); ok && d.w.o.Dispatch != nil {
		r := remote.New(local)
		d.sched = r
		d.client = &client{d: d, r: r, id: uint64(d.life) << 32}
	}
	d.calls = map[*fireflypath.Work]*call{}
	d.heard = map[string]fireflypath.PeerLoad{}
	d.told = fireflypath.NewPeerLoad(d.name)
	d.wake = time.Time{}
	d.sched.SetTargets(d.w.loop.Now(), d.w.list())
}

func (d *daemon) pool() fireflypath.Pool {
	return fireflypath.Pool{Name: pool, Kind: fireflypath.KindEngine, Stride: d.w.o.Fleet.Engines.Stride}
}

// list is the targets as daemons see them.
func (w *world) list() []fireflypath.Target {
	out := make([]fireflypath.Target, 0, len(w.targets))
	for _, t := range w.targets {
		out = append(out, t.Target)
	}
	return out
}

// byName is the daemon of a name, or nil.
func (w *world) byName(name string) *daemon {
	for _, d := range w.daemons {
		if d.name == name {
			return d
		}
	}
	return nil
}

// restart kills the daemon: its callers lose their connections.
func (d *daemon) restart() {
	old := d.calls
	d.begin()
	for w, c := range old {
		w.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateWithdrawn)
		c.broken()
	}
	for _, o := range d.w.daemons {
		delete(o.heard, d.name)
		if o.client != nil && o.client.to != nil && o.client.to.d == d && o != d {
			d.w.loop.After(notice, o.client.lose)
		}
		if o.desk != nil {
			o.desk.CloseSession(d.w.loop.Now(), d.name)
		}
	}
	d.w.layout()
}

// layout gives each daemon its engines and the daemons that it hears.
func (w *world) layout() {
	var names, targets []string
	byName := map[string]*daemon{}
	for _, d := range w.daemons {
		names = append(names, d.name)
		byName[d.name] = d
	}
	for _, t := range w.targets {
		targets = append(targets, t.Name)
	}
	l := cell.New(names)
	for _, d := range w.daemons {
		mine, mates := l.AssignedTargets(d.name, targets)
		share := fireflypath.Share{Default: 1}
		if l.CellCount() > 1 {
			share = fireflypath.Share{Fractions: map[string]float64{}, UnknownSenders: len(mates) > len(l.Members(d.name))}
			for _, t := range mine {
				share.Fractions[t] = 1
			}
		}
		d.mates = d.mates[:0]
		for _, m := range l.Members(d.name) {
			if m != d.name {
				d.mates = append(d.mates, byName[m])
			}
		}
		d.share = share
		d.sched.SetShare(w.loop.Now(), share)
		if d.desk != nil {
			d.desk.SetShare(w.loop.Now(), share)
		}
	}
	for _, d := range w.daemons {
		if d.client != nil {
			d.client.choose()
		}
	}
}

func (d *daemon) setTargets(list []fireflypath.Target) {
	d.sched.SetTargets(d.w.loop.Now(), list)
	if d.desk != nil {
		d.desk.SetTargets(d.w.loop.Now(), list)
		d.desk.push()
	}
	d.pump()
}

// beat tells the others what changed here and takes in what they told.
func (d *daemon) beat() {
	d.w.loop.After(beatEvery, d.beat)
	t, ok := d.sched.(teller)
	if !ok {
		return
	}
	m := fireflypath.NewPeerLoad(d.name)
	t.Report(&m)
	if !same(&m, &d.told) {
		d.told = m
		for _, o := range d.mates {
			d.w.loop.After(flushLag+d.w.o.Fleet.Hop.Std(), func() { o.heard[d.name] = m })
		}
	}
	mates := make([]fireflypath.PeerLoad, 0, len(d.heard))
	for _, o := range d.mates {
		if m, ok := d.heardOf(o); ok {
			mates = append(mates, m)
		}
	}
	t.UpdatePeers(d.w.loop.Now(), mates)
	if d.desk != nil {
		d.desk.UpdatePeers(d.w.loop.Now(), mates)
		d.desk.push()
	}
	d.pump()
}

func (d *daemon) heardOf(o *daemon) (fireflypath.PeerLoad, bool) {
	m, ok := d.heard[o.name]
	return m, ok
}

func same(a, b *fireflypath.PeerLoad) bool {
	return maps.Equal(a.InFlight, b.InFlight) && maps.Equal(a.PendingPrompts, b.PendingPrompts) && maps.Equal(a.WaitingRanks, b.WaitingRanks)
}

// offer takes a request in.
func (d *daemon) offer(c *call) {
	d.calls[&c.work] = c
	d.shed(d.sched.Offer(d.w.loop.Now(), &c.work, nil))
	d.pump()
}

func (d *daemon) shed(sheds []fireflypath.Shed) {
	for _, s := range sheds {
		c := d.calls[s.Work]
		if c == nil || !s.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateShed) {
			continue
		}
		d.sched.Withdraw(d.w.loop.Now(), s.Work)
		delete(d.calls, s.Work)
		c.refused(s.RetryAfter)
	}
}

// pump carries out what the scheduler decides now, and tells the dispatcher.
func (d *daemon) pump() {
	if d.client != nil {
		defer d.client.flush()
	}
	now := d.w.loop.Now()
	for d.sched.Next(now, &d.place) {
		w := d.place.Work
		c := d.calls[w]
		if c == nil || !w.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched) {
			d.sched.Observe(now, fireflypath.Event{Kind: fireflypath.EventUnsent, Target: d.place.Target, Work: w, Cached: -1})
			continue
		}
		c.dispatched(d.place.Target)
	}
	at := d.sched.Wake(now)
	if at.IsZero() {
		return
	}
	if soonest := now.Add(time.Millisecond); at.Before(soonest) {
		at = soonest
	}
	if d.wake.After(now) && !at.Before(d.wake) {
		return
	}
	d.wake = at
	life := d.life
	d.w.loop.At(at, func() {
		if d.life != life || !d.wake.Equal(at) {
			return
		}
		d.wake = time.Time{}
		d.shed(d.sched.Expire(d.w.loop.Now(), nil))
		d.pump()
	})
}

// withdraw takes a request out whose caller left.
func (d *daemon) withdraw(c *call) {
	if !c.work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateWithdrawn) {
		return
	}
	d.sched.Withdraw(d.w.loop.Now(), &c.work)
	delete(d.calls, &c.work)
}

// observe passes an event on and sees what it makes possible.
func (d *daemon) observe(e fireflypath.Event) {
	d.sched.Observe(d.w.loop.Now(), e)
	d.pump()
}
