package send

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// errMalformed means that what a target sent is no answer in HTTP.
var errMalformed = errors.New("answer is malformed")

const (
	// statusOffset is where the status begins in a status line.
	statusOffset = len("HTTP/1.1 ")
	statusDigits = 3
	// minStatus is the lowest status of HTTP. statusSwitching changes the protocol, which nobody asks for.
	minStatus       = 100
	statusSwitching = 101
)

// checkHead checks the head of the next answer and leaves it unread.
//
// The library reads the status 000 as 200, and takes names of fields with blanks for others. A target in
// trouble sends such heads; its answer would reach the caller as a success, or with another body.
func checkHead(r *bufio.Reader) error {
	head, err := peekHead(r)
	if err != nil {
		return err
	}
	line, fields, _ := bytes.Cut(head, []byte("\n"))
	if err := checkStatus(line); err != nil {
		return err
	}
	for line := range bytes.Lines(fields) {
		name, _, found := bytes.Cut(line, []byte(":"))
		if found && !httpguts.ValidHeaderFieldName(string(name)) {
			return errors.Wrapf(errMalformed, "name of field %q", name)
		}
	}
	return nil
}

// peekHead returns the bytes up to the empty line that ends a head.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return nil, err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		for _, end := range []string{"\n\r\n", "\n\n"} {
			if i := bytes.Index(b, []byte(end)); i >= 0 {
				return b[:i+1], nil
			}
		}
	}
}

// checkStatus checks the status of a status line.
func checkStatus(line []byte) error {
	if len(line) < statusOffset+statusDigits {
		return errors.Wrapf(errMalformed, "status line %q", line)
	}
	status, err := strconv.Atoi(string(line[statusOffset : statusOffset+statusDigits]))
	if err != nil || status < minStatus || status == statusSwitching {
		return errors.Wrapf(errMalformed, "status line %q", line)
	}
	return nil
}
