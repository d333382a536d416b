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

// defaultOperatorAddr uses the port of the operators' listener in the example files under
// settings/.
const defaultOperatorAddr = "127.0.0.1:9090"

// operatorFlags returns the flags of the commands that connect to a daemon, followed by
// extra.
func operatorFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name: "at", Usage: "operators' `ADDR` of a daemon, with https:// for TLS; several are tried in turn",
			Value: []string{defaultOperatorAddr}, Sources: cli.EnvVars("FIREFLYPATH_AT"),
		},
		&cli.StringFlag{
			Name: "key", Usage: "operator's `KEY`; prefer the environment variable, since other users can read the command line",
			Sources: cli.EnvVars("FIREFLYPATH_KEY"),
		},
		&cli.StringFlag{
			Name: "ca", Usage: "`FILE` with the CA certificates of the daemons",
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
	}, extra...)
}

func newClient(cmd *cli.Command) (*client.Client, error) {
	opts := client.Options{Addrs: cmd.StringSlice("at"), Key: cmd.String("key")}
	if file := cmd.String("ca"); file != "" {
		pem, err := os.ReadFile(file)
		if err != nil {
			return nil, exitError{errors.Wrap(err, "read the certificates"), exitInput}
		}
		opts.Roots = x509.NewCertPool()
		if !opts.Roots.AppendCertsFromPEM(pem) {
			return nil, exitError{errors.Newf("%s holds no certificate", file), exitInput}
		}
	}
	return client.New(opts), nil
}

// inputText returns the arguments joined by spaces, or the content of the file given by
// --file, where "-" is the standard input.
func inputText(cmd *cli.Command) (string, error) {
	file := cmd.String("file")
	if file == "" && cmd.Args().Len() == 0 {
		return "", exitError{errors.Newf("%s needs words or --file", cmd.Name), exitInput}
	}
	if file == "" {
		return strings.Join(cmd.Args().Slice(), " "), nil
	}
	text, err := readAll(cmd, file)
	if err != nil {
		return "", exitError{errors.Wrap(err, "read the words"), exitInput}
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

// usageError assigns the exit code for invalid input to flag errors.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return exitError{err, exitInput}
}

// inputError assigns the exit code for invalid input to syntax errors.
func inputError(err error) error {
	var syntaxErr *syntax.Error
	if errors.As(err, &syntaxErr) {
		return exitError{syntaxErr, exitInput}
	}
	return err
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
