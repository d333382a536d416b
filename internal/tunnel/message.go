package tunnel

import (
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxMessageSize limits the messages that open a tunnel, in bytes.
const maxMessageSize = 4 << 10

var (
	errNoPeer     = errors.New("no daemon to connect through")
	errTargetDown = errors.New("peer cannot connect to the target")
	errPeerUnfit  = errors.New("peer has no paths or is busy")
	errOversized  = errors.New("message is above the limit")
)

// openRequest asks a peer to connect to a target.
type openRequest struct {
	// Target is the identity of the target.
	Target string `json:"t"`
}

// refusal says why a peer did not connect.
type refusal string

const (
	refusalNone refusal = ""
	// refusalUnfit is the answer of a daemon that connects nobody for some time.
	refusalUnfit refusal = "unfit"
	// refusalUnknown is the answer for a target that the peer does not use, refusalDown that for one
	// that accepts no connection from it.
	refusalUnknown refusal = "unknown"
	refusalDown    refusal = "down"
)

// openResponse is the answer. After one without a refusal, the stream carries the bytes of the
// connection to the target.
type openResponse struct {
	Refusal refusal `json:"r,omitempty"`
}

// writeMessage writes a message with its length as a big-endian 16-bit integer before it.
func writeMessage(w io.Writer, m any) error {
	body, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode a message")
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(body))), body...))
	return err
}

// readMessage reads one message and no byte beyond it.
func readMessage(r io.Reader, m any) error {
	var prefix [2]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint16(prefix[:])
	if n > maxMessageSize {
		return errOversized
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(body, m), "decode a message")
}
