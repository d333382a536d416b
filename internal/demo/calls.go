package demo

import (
	"fmt"
	"io"

	"github.com/fireflypath/fireflypath/internal/mix"
)

// PrintCalls writes the addresses of a demo that keeps running and example calls.
func (d *Demo) PrintCalls(w io.Writer) error {
	team := d.options.Mix.Teams[0]
	b := fmt.Appendf(nil, "\nplatform    http://%s\n", d.platform.Addr())
	for i, x := range d.daemons {
		if i >= d.options.Kill || d.options.NoFaults {
			b = fmt.Appendf(b, "entry%-6d callers http://%s  operators http://%s\n", i+1, x.CallerAddr(), x.OperatorAddr())
		}
	}
	for i, e := range d.engines {
		b = fmt.Appendf(b, "engine%-5d http://%s\n", i+1, e.Addr())
	}
	for i, s := range d.services {
		b = fmt.Appendf(b, "service%-4d http://%s\n", i+1, s.Addr())
	}
	addr := d.daemons[len(d.daemons)-1].CallerAddr()
	b = fmt.Appendf(b, "\n# commands and queries\nexport FIREFLYPATH_AT=%s FIREFLYPATH_KEY=%s\nfireflypath ask top\n",
		d.daemons[len(d.daemons)-1].OperatorAddr(), OperatorToken)
	b = fmt.Appendf(b, "\n# a stream, as it comes\ncurl -N http://%s/v1/completions -H 'Authorization: Bearer %s' "+
		"-H 'Fireflypath-Tier: %s' -H 'Fireflypath-Deadline: 5s' -d '{\"model\":%q,\"prompt\":\"hello\",\"max_tokens\":16,\"stream\":true}'\n",
		addr, mix.Token(team.Name), team.Tiers[0], mix.Model)
	b = fmt.Appendf(b, "\n# a delivery that runs at most once, however often it is sent\ncurl -i http://%s/services/%s/deliveries/1 "+
		"-H 'Authorization: Bearer %s' -H 'Idempotency-Key: my-key' -d 'a packet'\n",
		addr, mix.Packets, mix.Token(d.options.Mix.Teams[3].Name))
	b = fmt.Appendf(b, "\n# an engine goes slow, and what it counted\ncurl http://%s/fault -d '{\"name\":\"slow\",\"factor\":10}'\n"+
		"curl http://%s/counts\n\nend with ctrl-c\n", d.engines[1].Addr(), d.engines[1].Addr())
	_, err := w.Write(b)
	return err
}
