package relay

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// event is one event of a streamed completion; fields that are not used are omitted.
type event struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Created int64  `json:"created"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
}

// completion is a complete answer in the format of the completions API.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    *string  `json:"text,omitempty"`
	Message *message `json:"message,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// assembler accumulates the events of one answer.
type assembler struct {
	text   []byte
	last   event
	finish *string
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

func (a *assembler) addEvents(data []byte) error {
	for line := range bytes.Lines(data) {
		v, ok := bytes.CutPrefix(line, dataPrefix)
		v = bytes.TrimSpace(v)
		if !ok || bytes.Equal(v, doneMarker) {
			continue
		}
		var e event
		if err := json.Unmarshal(v, &e); err != nil {
			return errors.Wrap(err, "parse event")
		}
		a.last = e
		for _, c := range e.Choices {
			a.text = append(a.text, c.Text...)
			a.text = append(a.text, c.Delta.Content...)
			if c.Finish != nil {
				a.finish = c.Finish
			}
		}
	}
	if len(a.text) > maxAssembled {
		return errTooLong
	}
	return nil
}

// assemble combines the events of a streamed completion into one JSON answer, for
// a caller that did not ask for a stream.
func (rl *Relay) assemble(f *follower, c fireflypath.Chunk, err error) error {
	var a assembler
	for err == nil {
		if err = a.addEvents(c.Data); err == nil {
			c, err = f.next()
		}
	}
	if !errors.Is(err, io.EOF) {
		return rl.fail(f, err)
	}
	body, err := json.Marshal(a.completion(f))
	if err != nil {
		return rl.fail(f, err)
	}
	f.request.Reply.Header = map[string]string{"Content-Type": "application/json"}
	f.request.Reply.Body = body
	rl.complete(f)
	return nil
}

func (a *assembler) completion(f *follower) completion {
	r := f.request
	text := string(a.text)
	answer := choice{Finish: a.finish}
	object := "text_completion"
	if r.Inbound.Path == "/v1/chat/completions" {
		object = "chat.completion"
		answer.Message = &message{Role: "assistant", Content: text}
	} else {
		answer.Text = &text
	}
	return completion{
		ID: r.Work.ID, Object: object, Created: a.last.Created, Model: r.Work.Model, Choices: []choice{answer},
		Usage: usage{Prompt: r.Work.Cost.Prompt, Completion: r.Tokens, Total: r.Work.Cost.Prompt + r.Tokens},
	}
}
