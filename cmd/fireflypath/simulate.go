package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"
	"github.com/urfave/cli/v3"
	"gonum.org/v1/gonum/stat"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/sim"
	"github.com/fireflypath/fireflypath/internal/sim/baseline"
	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/load"
)

// The policies of a simulated fleet: the shipped one with a dispatcher, each daemon
// alone, two plain gateways, and a clairvoyant bound.
const (
	policySlots = "slots"
	policyAlone = "alone"
	policyLeast = "least"
	policyTurn  = "rr"
	policyBound = "bound"
)

// simulated is one run of a simulated fleet.
type simulated struct {
	Policy string `json:"policy"`
	Set    string `json:"set,omitempty"`
	Load   string `json:"load"`
	Mix    string `json:"mix"`
	Seed   uint64 `json:"seed"`
	sim.Result
}

// simulates is true for the names of fleets.
func simulates(mixes []string) bool {
	return slices.ContainsFunc(mixes, func(m string) bool { return m == "drawn" || slices.Contains(fleet.Names(), m) })
}

// simulate plays fleets, loads and policies, or compares two settings.
func simulate(w io.Writer, c *cli.Command) error {
	variants := []string{strings.Join(c.StringSlice("set"), "+")}
	if pair := c.StringSlice("compare"); len(pair) > 0 {
		variants = pair
	}
	runs, err := simulations(c, variants)
	if err != nil {
		return coded{error: err, code: exitInput}
	}
	results, err := iter.MapErr(runs, func(r *simulated) (simulated, error) { return r.play() })
	if err != nil {
		return coded{error: err, code: exitInput}
	}
	switch {
	case c.String("o") == "json":
		return printSimulatedJSON(w, results)
	case len(variants) > 1:
		return printCompared(w, results, variants)
	default:
		return printSimulated(w, results)
	}
}

// simulations lists the runs in the order of the output.
func simulations(c *cli.Command, variants []string) ([]simulated, error) {
	var out []simulated
	for _, m := range c.StringSlice("mix") {
		for _, l := range orAll(c.StringSlice("load"), loadNames()) {
			for _, p := range orAll(c.StringSlice("policy"), []string{policySlots}) {
				for _, set := range variants {
					for i := range c.Int("seeds") {
						out = append(out, simulated{Policy: p, Set: set, Load: l, Mix: m, Seed: c.Uint64("seed") + uint64(i)})
					}
				}
			}
		}
	}
	if len(out) == 0 {
		return nil, errors.New("nothing to simulate")
	}
	return out, nil
}

func loadNames() []string {
	var out []string
	for _, l := range load.All() {
		out = append(out, l.Name)
	}
	return out
}

// play runs it.
func (s *simulated) play() (simulated, error) {
	out := *s
	f, err := fleet.Find(s.Mix, s.Seed)
	if err != nil {
		return out, err
	}
	l, err := load.Find(s.Load, s.Seed)
	if err != nil {
		return out, err
	}
	o := sim.Options{Fleet: f, Load: l, Seed: s.Seed}
	if s.Policy == policyBound {
		out.Result = sim.Bound(o)
		return out, nil
	}
	if err := s.equip(&o); err != nil {
		return out, err
	}
	out.Result = sim.Run(o)
	return out, nil
}

// equip sets the schedulers of the policy.
func (s *simulated) equip(o *sim.Options) error {
	alone, shared := slots.StandaloneTuning(), slots.DispatcherTuning()
	object, err := tuningObject(s.Set)
	if err != nil {
		return err
	}
	if alone, err = alone.Apply(object); err != nil {
		return err
	}
	if shared, err = shared.Apply(object); err != nil {
		return err
	}
	o.Make = func(p fireflypath.Pool, seed uint64) fireflypath.Scheduler { return slots.New(p, seed, alone) }
	switch s.Policy {
	case policySlots:
		o.Dispatch = func(p fireflypath.Pool, seed uint64) dispatcher.Scheduler { return slots.New(p, seed, shared) }
	case policyAlone:
	case policyLeast, policyTurn:
		least := s.Policy == policyLeast
		o.Make = func(_ fireflypath.Pool, seed uint64) fireflypath.Scheduler { return baseline.New(least, seed) }
	default:
		return errors.Newf("unknown policy %q", s.Policy)
	}
	return nil
}

// shipped stands for no setting in a comparison.
const shipped = "shipped"

// tuningObject turns NAME=VALUE+... into a JSON object.
func tuningObject(set string) ([]byte, error) {
	object := map[string]any{}
	for _, kv := range strings.Split(set, "+") {
		if kv == "" || kv == shipped {
			continue
		}
		name, text, ok := strings.Cut(kv, "=")
		if !ok {
			return nil, errors.Newf("%q is not NAME=VALUE", kv)
		}
		if b, err := strconv.ParseBool(text); err == nil && text != "0" && text != "1" {
			object[name] = b
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return nil, errors.Wrapf(err, "%s", name)
		}
		object[name] = v
	}
	return json.Marshal(object)
}

func printSimulatedJSON(w io.Writer, results []simulated) error {
	enc := json.NewEncoder(w)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// group is what runs that differ in the seed only have in common.
type group struct{ mix, load, policy, set string }

// grouped sums runs up by group, in their order.
func grouped(results []simulated) (order []group, by map[group][]simulated) {
	by = map[group][]simulated{}
	for _, r := range results {
		g := group{r.Mix, r.Load, r.Policy, r.Set}
		if by[g] == nil {
			order = append(order, g)
		}
		by[g] = append(by[g], r)
	}
	return order, by
}

func printSimulated(w io.Writer, results []simulated) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(tw, "mix\tload\tpolicy\tworth\twhole\tworst 2 s\tworst class\tagain\tin time\tlate\trefused\tfailed\tleft\t"); err != nil {
		return err
	}
	order, by := grouped(results)
	for _, g := range order {
		figure := func(of func(*simulated) float64) float64 { return stat.Mean(figures(by[g], of), nil) }
		kinds := func(of func(*sim.Kind) int) func(*simulated) float64 {
			return func(r *simulated) float64 {
				n, sent := 0, 0
				for i := range r.Kinds {
					n += of(&r.Kinds[i])
					sent += r.Kinds[i].Sent
				}
				return float64(n) / float64(max(sent, 1))
			}
		}
		if _, err := fmt.Fprintf(tw, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", g.mix, g.load, g.policy,
			figure(func(r *simulated) float64 { return r.Worth }), figure(func(r *simulated) float64 { return r.Whole }),
			figure(func(r *simulated) float64 { return r.Window }), figure(func(r *simulated) float64 { return r.Class }),
			figure(func(r *simulated) float64 { return r.Again }),
			figure(kinds(func(k *sim.Kind) int { return k.InTime })), figure(kinds(func(k *sim.Kind) int { return k.Late })),
			figure(kinds(func(k *sim.Kind) int { return k.Refused })), figure(kinds(func(k *sim.Kind) int { return k.Failed })),
			figure(kinds(func(k *sim.Kind) int { return k.Left }))); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func figures(runs []simulated, of func(*simulated) float64) []float64 {
	out := make([]float64, 0, len(runs))
	for i := range runs {
		out = append(out, of(&runs[i]))
	}
	return out
}

// confidence is the number of standard errors on each side of a mean that hold it
// with 95 in 100.
const confidence = 1.96

// printCompared prints the paired differences of the second setting to the first.
func printCompared(w io.Writer, results []simulated, variants []string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintf(tw, "mix\tload\tpolicy\t%s\t%s\tdifference\t95 in 100\t\n", variants[0], variants[1]); err != nil {
		return err
	}
	worth := func(r *simulated) float64 { return r.Worth }
	order, by := grouped(results)
	var all []float64
	for _, g := range order {
		if g.set != variants[0] {
			continue
		}
		other := g
		other.set = variants[1]
		a, b := figures(by[g], worth), figures(by[other], worth)
		d := make([]float64, len(a))
		for i := range a {
			d[i] = b[i] - a[i]
		}
		all = append(all, d...)
		if err := printDifference(tw, g, stat.Mean(a, nil), stat.Mean(b, nil), d); err != nil {
			return err
		}
	}
	if len(order) > len(variants) {
		if err := printDifference(tw, group{mix: "all"}, math.NaN(), math.NaN(), all); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func printDifference(w io.Writer, g group, a, b float64, d []float64) error {
	mean, sd := stat.MeanStdDev(d, nil)
	_, err := fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\t%.4f\t%+.4f\t±%.4f\t\n", g.mix, g.load, g.policy, a, b, mean,
		confidence*sd/math.Sqrt(float64(len(d))))
	return err
}
