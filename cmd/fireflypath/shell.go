package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/peterh/liner"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/command"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/query"
)

// historyFile is in the operator's home directory. Keys never get into it: the
// client makes them, they are not typed.
const historyFile = ".fireflypath_history"

// shellCommand reads commands and queries line by line.
func shellCommand() *cli.Command {
	return &cli.Command{
		Name: "shell", Usage: "commands and queries line by line, with history and completion",
		Flags:        operatorFlags(),
		OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			asJSON := cmd.String("output") == "json"
			s := shell{ask: asker{client: c, json: asJSON}, do: doer{client: c, json: asJSON}, w: cmd.Root().Writer}
			return s.loop()
		},
	}
}

type shell struct {
	ask asker
	do  doer
	w   io.Writer
}

func (s shell) loop() error {
	line := liner.NewLiner()
	defer func() { _ = line.Close() }()
	line.SetCtrlCAborts(true)
	line.SetCompleter(complete)
	readHistory(line)
	defer writeHistory(line)
	for {
		text, err := line.Prompt("fireflypath> ")
		if errors.Is(err, io.EOF) || errors.Is(err, liner.ErrPromptAborted) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "read a line")
		}
		text = strings.TrimSpace(text)
		if text == "" {
			continue
		}
		line.AppendHistory(text)
		if text == "exit" || text == "quit" {
			return nil
		}
		if err := s.line(text); err != nil {
			s.complain(err)
		}
	}
}

// complain prints an error and goes on; a broken output ends the shell's
// process by itself.
func (s shell) complain(err error) {
	_, _ = fmt.Fprintln(s.w, err)
}

// line runs a query or a command, told apart by the first word; no word begins
// both. "ask" and "do" in front, as on the command line, do no harm.
func (s shell) line(text string) error {
	first, rest, _ := strings.Cut(text, " ")
	switch first {
	case "ask":
		return s.ask.run(s.w, rest)
	case "do":
		return s.do.run(s.w, wire.CommandRequest{Text: rest})
	case "help":
		return s.help()
	}
	for _, word := range query.Complete("") {
		if first == word {
			return s.ask.run(s.w, text)
		}
	}
	return s.do.run(s.w, wire.CommandRequest{Text: text})
}

// help lists the words that begin a line.
func (s shell) help() error {
	_, err := fmt.Fprintf(s.w, "commands: %s\nqueries:  %s\ntab completes, exit leaves\n",
		strings.Join(command.Complete(""), " "), strings.Join(query.Complete(""), " "))
	return err
}

// complete offers what either grammar takes after the words so far.
func complete(line string) []string {
	i := strings.LastIndexAny(line, " ;,") + 1
	head, part := line[:i], line[i:]
	var out []string
	for _, word := range append(command.Complete(head), query.Complete(head)...) {
		if strings.HasPrefix(word, part) {
			out = append(out, head+word+" ")
		}
	}
	return out
}

func historyPath() string {
	home, err := os.UserHomeDir()
	if err != nil {
		return ""
	}
	return filepath.Join(home, historyFile)
}

// readHistory begins without one if there is none.
func readHistory(line *liner.State) {
	f, err := os.Open(historyPath())
	if err != nil {
		return
	}
	defer f.Close()
	_, _ = line.ReadHistory(f)
}

func writeHistory(line *liner.State) {
	f, err := os.OpenFile(historyPath(), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	_, _ = line.WriteHistory(f)
}
