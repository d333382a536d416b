package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/client"
)

// call runs a command line in this process.
func call(stdin string, args ...string) (string, error) {
	var b bytes.Buffer
	root := &cli.Command{
		Name: "fireflypath", Commands: commands(), Writer: &b, ErrWriter: &b, Reader: strings.NewReader(stdin),
	}
	err := root.Run(context.Background(), append([]string{"fireflypath"}, args...))
	return b.String(), err
}

// nobody is an address where nothing listens.
func nobody(t *testing.T) string {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	return ln.Addr().String()
}

func TestExitCodes(t *testing.T) {
	at := "--at=" + nobody(t)
	file := filepath.Join(t.TempDir(), "words")
	if err := os.WriteFile(file, []byte("drain target"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		args  []string
		stdin string
		code  int
		want  string
	}{
		"unknown flag":   {[]string{"do", "--nope", "x"}, "", exitInput, "nope"},
		"wrong output":   {[]string{"ask", "-o", "xml", "teams"}, "", exitInput, "table or json"},
		"no words":       {[]string{"ask", at}, "", exitInput, "needs words"},
		"no file":        {[]string{"do", at, "-f", file + "x"}, "", exitInput, "read the words"},
		"syntax":         {[]string{"do", at, "drain tarjet e1"}, "", exitInput, `found "tarjet", expected target`},
		"syntax in file": {[]string{"do", at, "-f", file}, "", exitInput, "column 13: found end of the text, expected a name"},
		"repeated key":   {[]string{"do", at, "--id", "01JE5V3W4X5Y6Z7A8B9C0DEFGH", "key team t"}, "", exitInput, "must name the hash"},
		"wrong ca":       {[]string{"ask", at, "--ca", file, "teams"}, "", exitInput, "holds no certificate"},
		"nobody to do":   {[]string{"do", at, "-f", "-"}, "drain target e1", exitRefused, "nothing was changed"},
		"nobody to ask":  {[]string{"ask", at, "teams"}, "", exitRefused, "call http://"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := call(tc.stdin, tc.args...)
			is.True(err != nil)
			is.Equal(exitCode(err), tc.code)
			if !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want %s", err, tc.want)
			}
		})
	}
}

// A script reads the outcome from JSON, also when nothing was reached. A key
// that no daemon took is not shown: it would open nothing.
func TestOutcomeAsJSON(t *testing.T) {
	is := is.New(t)
	out, err := call("", "do", "-o", "json", "--at", nobody(t), "key team traders")
	is.Equal(exitCode(err), exitRefused)
	var o outcome
	is.NoErr(json.Unmarshal([]byte(out), &o))
	is.Equal(string(o.Outcome), "unavailable")
	is.Equal(len(o.Keys), 0)
	is.Equal(len(o.ID), 26)
}

func TestComplete(t *testing.T) {
	for line, want := range map[string]string{
		"dr":                     "drain ",
		"drain ":                 "drain target ",
		"set tier gold de":       "set tier gold deadline ",
		"drain target e1; rest":  "drain target e1; restore ",
		"count requests b":       "count requests by ",
		"teams order ":           "teams order by ",
		"p9":                     "p90 p95 p99 ",
		"set team a tiers b wei": "set team a tiers b weight ",
	} {
		t.Run(line, func(t *testing.T) {
			is.New(t).Equal(strings.Join(complete(line), ""), want)
		})
	}
}

// Operators type into the shell what they type on the command line.
func TestShellTellsCommandsFromQueries(t *testing.T) {
	var b bytes.Buffer
	c := client.New(client.Options{Addrs: []string{nobody(t)}})
	s := shell{ask: asker{client: c}, do: doer{client: c}, w: &b}
	for line, want := range map[string]string{
		"tiers":             "call http",
		"ask tiers":         "call http",
		"drain target e1":   "nothing was changed",
		"do drain target a": "nothing was changed",
		"drain e1":          "expected target",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			err := s.line(line)
			is.True(err != nil)
			if !strings.Contains(err.Error(), want) {
				t.Fatalf("got %v, want %s", err, want)
			}
		})
	}
	is.New(t).NoErr(s.line("help"))
	is.New(t).True(strings.Contains(b.String(), "drain"))
}
