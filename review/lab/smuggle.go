package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// smuggleRounds is how often each form is sent to each daemon.
	smuggleRounds = 5
	// channelTime is how long a caller reads what comes on its channel.
	channelTime = 500 * time.Millisecond
)

// form is a way to send a request whose body holds the bytes of another one.
type form struct {
	name string
	// ambiguous is true if the header gives two lengths of the body, by one of which the other request is
	// inside the body.
	ambiguous bool
	// write returns the request. head ends after the fields that all forms have.
	write func(head, hidden string) string
}

var forms = []form{
	{"a length", false, func(head, hidden string) string {
		return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden
	}},
	{"chunks", false, func(head, hidden string) string {
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(hidden) + lastChunk
	}},
	{"a length, then chunks", true, func(head, hidden string) string {
		body := lastChunk + hidden
		return head + fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(body)) + body
	}},
	{"chunks, then a length", true, func(head, hidden string) string {
		body := lastChunk + hidden
		return head + fmt.Sprintf("Transfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", len(body)) + body
	}},
	{"HTTP/1.0 with a length and chunks", true, func(head, hidden string) string {
		body := chunk(hidden)
		size := strings.Index(body, hidden)
		return strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) +
			fmt.Sprintf("Connection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: %d\r\n\r\n", size) + body + lastChunk
	}},
}

const lastChunk = "0\r\n\r\n"

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// playSmuggle sends requests whose bodies hold the bytes of other requests. It breaks the rule if a target
// runs one of those.
func playSmuggle(w *world, trouble bool) (bool, error) {
	if err := w.putConfig("review/lab/plain.json"); err != nil {
		return false, err
	}
	if err := w.startTargets(3, 6, 5*time.Millisecond); err != nil {
		return false, err
	}
	if err := w.startDaemons(3, []string{"a", "b", "c"}); err != nil {
		return false, err
	}
	if err := w.awaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	sent := map[string]bool{}
	for round := range smuggleRounds {
		for _, d := range w.daemons {
			for i, f := range forms {
				if f.ambiguous && !trouble {
					continue
				}
				id := fmt.Sprintf("%s-%d-%d", d.name, round, i)
				sent[id] = true
				if err := w.sendForm(d, f, id); err != nil {
					return false, err
				}
			}
		}
	}
	return w.judgeSmuggled(sent), nil
}

// sendForm sends one request on a channel of its own and reads all answers on it.
func (w *world) sendForm(d *daemon, f form, id string) error {
	c, err := net.Dial("tcp", d.callers)
	if err != nil {
		return err
	}
	defer c.Close()
	head := fmt.Sprintf("POST /fetch/outer HTTP/1.1\r\nHost: records.example\r\n%s: %s\r\n", headers.ID, id)
	hidden := fmt.Sprintf("POST /fetch/hidden HTTP/1.1\r\nHost: records.example\r\n%s: hidden-%s\r\nContent-Length: 0\r\n\r\n", headers.ID, id)
	w.rec.line("send  %s to %s with %s", id, d.name, f.name)
	if _, err := io.WriteString(c, f.write(head, hidden)); err != nil {
		return err
	}
	if err := c.SetDeadline(time.Now().Add(channelTime)); err != nil {
		return err
	}
	// The daemon may close the channel or keep it open.
	answers, _ := io.ReadAll(c)
	w.rec.line("answer on the channel of %s: %d successes, %q", id, strings.Count(string(answers), " 200 OK\r\n"), firstLine(answers))
	return nil
}

func firstLine(b []byte) string {
	line, _, _ := strings.Cut(string(b), "\r\n")
	return line
}

// judgeSmuggled reports whether a target ran a request that no caller sent.
func (w *world) judgeSmuggled(sent map[string]bool) bool {
	ran, hidden := 0, 0
	for _, t := range w.targets {
		for _, a := range t.taken() {
			ran++
			if !sent[a.id] {
				hidden++
			}
		}
	}
	w.rec.note("%d requests were sent; the targets ran %d, of which %d were sent by no caller", len(sent), ran, hidden)
	return hidden > 0
}
