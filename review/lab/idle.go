package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Load and times of the case.
const (
	// usersPerSecond is the usual rate of requests of a small installation, all machines together.
	usersPerSecond = 74
	// maxDescriptors is what a machine of a small installation has.
	maxDescriptors = 4100
	lossAt         = 2 * time.Second
	idleTraffic    = 80 * time.Second
	// stableTime is how long after a disruption a machine counts as in touch again.
	stableTime = 3 * time.Second
	// routeTimeout is the route's in plain.json, userLimit how long a user waits.
	routeTimeout = 1500 * time.Millisecond
	userLimit    = 3 * time.Second
	// answerSlack is how long after the route's timeout a request must have its final answer.
	answerSlack = 500 * time.Millisecond
	// minUnanswered and maxUnansweredShare are from when on requests without it break the rule.
	minUnanswered      = 8
	maxUnansweredShare = 0.25
	notesEvery         = 10 * usersPerSecond
	// minOwnDescriptors is what this process needs for its side of the users' channels.
	minOwnDescriptors = 5500
)

var errFewDescriptors = errors.New("this process may not open enough descriptors for the users")

// user sends one request on a channel of its own and leaves the channel open, as it may come back.
type user struct {
	id, daemon string
	began      time.Time
	// written is true once the whole request was sent.
	written bool
	status  int
	took    time.Duration
	err     error
	channel net.Conn
}

// playIdle has users open channels and leave them idle, while all machines but one are lost. It breaks
// the rule if requests have no final answer half a second after their route's timeout.
func playIdle(w *world, trouble bool) (bool, error) {
	var own unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &own); err != nil {
		return false, err
	}
	if own.Cur < minOwnDescriptors {
		return false, errFewDescriptors
	}
	if err := w.putConfig("review/lab/plain.json"); err != nil {
		return false, err
	}
	if err := w.startTargets(3, 6, 20*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, []string{"a", "b", "c"}); err != nil {
		return false, err
	}
	for _, d := range w.daemons {
		limit := unix.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
		if err := unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			return false, err
		}
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	return w.judgeUnanswered(w.playUsers(trouble)), nil
}

// playUsers sends the users' requests to the machines that are left.
func (w *world) playUsers(trouble bool) []*user {
	var wg sync.WaitGroup
	var users []*user
	live := w.daemons
	start := time.Now()
	tick := time.NewTicker(time.Second / usersPerSecond)
	defer tick.Stop()
	for now := range tick.C {
		if now.Sub(start) > idleTraffic {
			break
		}
		if trouble && len(live) > 1 && now.Sub(start) > lossAt {
			for _, d := range live[1:] {
				w.rec.note("%s is lost for good", d.name)
				d.kill()
			}
			live = live[:1]
		}
		d := live[len(users)%len(live)]
		u := &user{id: fmt.Sprintf("%016x", len(users)+1), daemon: d.name}
		users = append(users, u)
		wg.Go(func() { w.visit(u, d) })
		if len(users)%notesEvery == 0 {
			w.rec.note("%d users so far; %s says that it is ready: %v", len(users), w.daemons[0].name, w.daemons[0].isReady())
		}
	}
	wg.Wait()
	for _, u := range users {
		if u.channel != nil {
			u.channel.Close()
		}
	}
	return users
}

func (w *world) visit(u *user, d *daemon) {
	u.began = time.Now()
	w.rec.line("send  %s to %s", u.id, u.daemon)
	u.err = u.exchange(d.callers)
	u.took = time.Since(u.began)
	w.rec.line("answer %s of %s: %d after %v, %v", u.id, u.daemon, u.status, u.took.Round(time.Millisecond), u.err)
}

// exchange sends the request and reads its answer. The channel stays open after an answer.
func (u *user) exchange(addr string) error {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	if err := c.SetDeadline(u.began.Add(userLimit)); err != nil {
		return err
	}
	_, err = fmt.Fprintf(c, "POST /fetch/x HTTP/1.1\r\nHost: records.example\r\n%s: %s\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody",
		headers.ID, u.id, headers.Deadline, strconv.FormatInt(userLimit.Milliseconds(), 10))
	if err != nil {
		c.Close()
		return err
	}
	u.written = true
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		c.Close()
		return err
	}
	defer resp.Body.Close()
	u.status, u.channel = resp.StatusCode, c
	return nil
}

// judgeUnanswered reports whether too many of the requests that lasted as long as their route's timeout had
// no final answer half a second later, at the machine that was not disturbed.
func (w *world) judgeUnanswered(users []*user) bool {
	lasting, unanswered, byStatus := 0, 0, map[int]int{}
	begin := w.rec.start
	if len(users) > 0 {
		begin = users[0].began.Add(lossAt + stableTime)
	}
	for _, u := range users {
		byStatus[u.status]++
		if !u.written || u.began.Before(begin) || u.daemon != w.daemons[0].name || u.took < routeTimeout {
			continue
		}
		lasting++
		if u.took > routeTimeout+answerSlack {
			unanswered++
		}
	}
	w.rec.note("%d users, by status %v (0: no answer)", len(users), byStatus)
	w.rec.note("%d requests to %s lasted as long as their route's timeout of %v, %d of them had no final answer %v later",
		lasting, w.daemons[0].name, routeTimeout, unanswered, answerSlack)
	return unanswered >= minUnanswered && float64(unanswered) > maxUnansweredShare*float64(lasting)
}
