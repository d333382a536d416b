package main

import (
	"context"
	"crypto/x509"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/client"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

// defaultAt has the port of the operators' listener in settings/.
const defaultAt = "127.0.0.1:9090"

// operatorFlags are shared by do, ask and shell.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "at", Usage: "operators' `ADDR` of a daemon; several are tried in turn; https:// for TLS",
			Value: []string{defaultAt}, Sources: cli.EnvVars("FIREFLYPATH_AT"),
		},
		&cli.StringFlag{
			Name: "key", Usage: "operator's `KEY`; better set in the environment, other users can read a command line",
			Sources: cli.EnvVars("FIREFLYPATH_KEY"),
		},
		&cli.StringFlag{
			Name: "ca", Usage: "`FILE` with the certificates that sign the daemons'",
			Sources: cli.EnvVars("FIREFLYPATH_CA"),
		},
		&cli.StringFlag{
			Name: "output", Aliases: []string{"o"}, Usage: "table or json", Value: "table",
			Validator: func(s string) error {
				if s != "table" && s != "json" {
					return errors.Newf("output is table or json, not %q", s)
				}
				return nil
			},
		},
	}, more...)
}

func newClient(cmd *cli.Command) (*client.Client, error) {
	opts := client.Options{Addrs: cmd.StringSlice("at"), Key: cmd.String("key")}
	if file := cmd.String("ca"); file != "" {
		pem, err := os.ReadFile(file)
		if err != nil {
			return nil, coded{errors.Wrap(err, "read the certificates"), exitInput}
		}
		opts.Roots = x509.NewCertPool()
		if !opts.Roots.AppendCertsFromPEM(pem) {
			return nil, coded{errors.Newf("%s holds no certificate", file), exitInput}
		}
	}
	return client.New(opts), nil
}

// words are the arguments, or a file's content; "-" is the standard input.
func words(cmd *cli.Command) (string, error) {
	file := cmd.String("file")
	if file == "" && cmd.Args().Len() == 0 {
		return "", coded{errors.Newf("%s needs words or --file", cmd.Name), exitInput}
	}
	if file == "" {
		return strings.Join(cmd.Args().Slice(), " "), nil
	}
	text, err := readAll(cmd, file)
	if err != nil {
		return "", coded{errors.Wrap(err, "read the words"), exitInput}
	}
	return string(text), nil
}

func readAll(cmd *cli.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.Root().Reader)
	}
	return os.ReadFile(file)
}

var fileFlag = &cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "read the words from `FILE`, - for the standard input"}

// usageError gives wrong flags their exit code.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return coded{err, exitInput}
}

// inputError gives syntax errors their exit code.
func inputError(err error) error {
	var at *syntax.Error
	if errors.As(err, &at) {
		return coded{at, exitInput}
	}
	return err
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
