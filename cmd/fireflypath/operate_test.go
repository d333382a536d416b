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

// runCLI runs a command line in this process.
func runCLI(stdin string, args ...string) (string, error) {
	var b bytes.Buffer
	root := &cli.Command{
		Name: "fireflypath", Commands: commands(), Writer: &b, ErrWriter: &b, Reader: strings.NewReader(stdin),
	}
	err := root.Run(context.Background(), append([]string{"fireflypath"}, args...))
	return b.String(), err
}

// unusedAddr returns an address on which nothing listens.
func unusedAddr(t *testing.T) string {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	return ln.Addr().String()
}

func TestExitCodes(t *testing.T) {
	at := "--at=" + unusedAddr(t)
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
		"unknown flag":       {[]string{"do", "--nope", "x"}, "", exitInput, "nope"},
		"wrong output":       {[]string{"ask", "-o", "xml", "teams"}, "", exitInput, "table or json"},
		"no words":           {[]string{"ask", at}, "", exitInput, "needs words"},
		"no file":            {[]string{"do", at, "-f", file + "x"}, "", exitInput, "read the words"},
		"syntax":             {[]string{"do", at, "drain tarjet e1"}, "", exitInput, `found "tarjet", expected target`},
		"syntax in file":     {[]string{"do", at, "-f", file}, "", exitInput, "column 13: found end of the text, expected a name"},
		"repeated key":       {[]string{"do", at, "--id", "01JE5V3W4X5Y6Z7A8B9C0DEFGH", "key team t"}, "", exitInput, "must name the hash"},
		"wrong ca":           {[]string{"ask", at, "--ca", file, "teams"}, "", exitInput, "holds no certificate"},
		"do without daemon":  {[]string{"do", at, "-f", "-"}, "drain target e1", exitRefused, "nothing was changed"},
		"ask without daemon": {[]string{"ask", at, "teams"}, "", exitRefused, "call http://"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := runCLI(tc.stdin, tc.args...)
			is.True(err != nil)
			is.Equal(exitCode(err), tc.code)
			if !strings.Contains(err.Error(), tc.want) {
				t.Fatalf("got %v, want %s", err, tc.want)
			}
		})
	}
}

// Scripts parse the outcome as JSON even if no daemon was reached. A key that no daemon
// has accepted must not be printed, because it grants no access.
func TestOutcomeJSON(t *testing.T) {
	is := is.New(t)
	out, err := runCLI("", "do", "-o", "json", "--at", unusedAddr(t), "key team traders")
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

// The shell accepts the same commands and queries as the command line.
func TestShellDistinguishesCommandsFromQueries(t *testing.T) {
	var b bytes.Buffer
	c := client.New(client.Options{Addrs: []string{unusedAddr(t)}})
	s := shell{querier: querier{client: c}, commander: commander{client: c}, w: &b}
	for line, want := range map[string]string{
		"tiers":             "call http",
		"ask tiers":         "call http",
		"drain target e1":   "nothing was changed",
		"do drain target a": "nothing was changed",
		"drain e1":          "expected target",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			err := s.runLine(line)
			is.True(err != nil)
			if !strings.Contains(err.Error(), want) {
				t.Fatalf("got %v, want %s", err, want)
			}
		})
	}
	is.New(t).NoErr(s.runLine("help"))
	is.New(t).True(strings.Contains(b.String(), "drain"))
}
