package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// ending is how a target ends an answer. The zero value ends it complete and framed.
type ending struct {
	// unframed is true for an answer that ends with its connection.
	unframed bool
	// breaks is true for an answer that is broken off. In a stream, that is at the event lastEvent:
	// before it, or inside it.
	breaks      bool
	lastEvent   int
	insideEvent bool
	// inOrder is true if the frame of a broken answer, or its connection, nevertheless ends in order.
	inOrder bool
}

// drawEnding draws how an answer ends that begins after the given event.
func (t *target) drawEnding(from int) ending {
	e := ending{unframed: t.happens(unframedRate), breaks: t.happens(t.truncateRate.Load())}
	if e.breaks {
		e.lastEvent = from + 1 + t.randN(streamEvents)
		e.insideEvent = t.randN(2) == 0
		e.inOrder = t.randN(2) == 0
	}
	return e
}

// unframedRate is the fraction of answers that end with their connection, in thousandths.
const unframedRate = 250

// setFrame sets the header of an answer with the given length, or -1 for a stream.
func (e ending) setFrame(h http.Header, length int) {
	switch {
	case e.unframed:
		h.Set("Transfer-Encoding", "identity") // net/http then sends neither chunks nor a length
	case length >= 0:
		h.Set("Content-Length", fmt.Sprint(length))
	}
}

// end ends an answer that was broken off.
func (e ending) end(w http.ResponseWriter) {
	w.(http.Flusher).Flush()
	if !e.inOrder {
		panic(http.ErrAbortHandler)
	}
}

// recordQuietBreak records that an answer to the request was broken off in a way that nobody can tell
// from its end: without a frame, and in a stream between two events.
func (h *history) recordQuietBreak(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quietBreaks[id] = true
}

func (h *history) quietlyBroken(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quietBreaks[id]
}

// openAnswer is a stream that a target has sent some events of.
type openAnswer struct {
	// through is the address of the daemon whose connection it takes.
	through  net.IP
	unframed bool
}

func (h *history) openAnswer(id string, a openAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open[id] = a
}

func (h *history) closeAnswer(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, id)
}

// countUnframed returns the number of streams without a frame that pass through a daemon, and of those
// among them whose caller is at another one.
func (h *history) countUnframed(d *process) (all, tunnelled int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, a := range h.open {
		s := h.requests[id]
		if s == nil || !a.unframed || !a.through.Equal(d.source) {
			continue
		}
		all++
		if s.daemon != d {
			tunnelled++
		}
	}
	return all, tunnelled
}

// recordKill records which streams pass through a daemon that is about to be killed.
func (h *history) recordKill(d *process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, a := range h.open {
		if s := h.requests[id]; s != nil && (s.daemon == d || a.through.Equal(d.source)) {
			h.killed[id] = true
		}
	}
}

// wasKilled reports whether a daemon was killed while it passed the answer to a request on, whose target
// did not break it off itself.
func (h *history) wasKilled(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.killed[id] && !h.quietBreaks[id]
}

// checkKilled checks that an answer without a frame does not look complete if its daemon was killed. An
// answer that had ended just before is whole.
func (c *caller) checkKilled(id string, resp *http.Response, text, whole string, err error) {
	if resp.StatusCode == http.StatusOK && endsWithConnection(resp) && c.history.wasKilled(id) {
		c.history.check(invariantKilled, err != nil || text == whole, "%s ended in order after %q", id, text)
	}
}

// endsWithConnection reports whether a response has neither a length nor chunks.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// oldTransport sends requests of HTTP/1.0, each over a connection of its own.
type oldTransport struct{}

// RoundTrip implements http.RoundTripper.
func (oldTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(r.Context(), "tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(r.Context(), func() { c.Close() })
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.0\r\nHost: %s\r\nContent-Length: %d\r\n", r.Method, r.URL.RequestURI(), r.Host, r.ContentLength)
	if err := r.Header.Write(&head); err != nil {
		c.Close()
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_, err = io.WriteString(c, head.String()+"\r\n"+string(body))
	}
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(bufio.NewReader(c), r)
	}
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	resp.Body = &connBody{ReadCloser: resp.Body, conn: c, stop: stop}
	return resp, nil
}

// connBody closes the connection with the body.
type connBody struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close implements io.Closer.
func (b *connBody) Close() error {
	b.stop()
	_ = b.ReadCloser.Close() // reads the rest; the connection ends in any case
	return b.conn.Close()
}
