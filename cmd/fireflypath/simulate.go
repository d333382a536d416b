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

// Policies of a simulated fleet: the shipped scheduler with a dispatcher, the same without
// one (each daemon alone), two plain gateways, and a clairvoyant upper bound.
const (
	policySlots      = "slots"
	policyAlone      = "alone"
	policyLeast      = "least"
	policyRoundRobin = "rr"
	policyBound      = "bound"
)

// simulation is one simulated run and its result.
type simulation struct {
	Policy string `json:"policy"`
	Set    string `json:"set,omitempty"`
	Load   string `json:"load"`
	Mix    string `json:"mix"`
	Seed   uint64 `json:"seed"`
	sim.Result
}

// containsFleet reports whether any of the mixes names a fleet.
func containsFleet(mixes []string) bool {
	return slices.ContainsFunc(mixes, func(m string) bool { return m == "drawn" || slices.Contains(fleet.Names(), m) })
}

// runSimulations runs all combinations of fleets, loads and policies, or compares two
// tuning variants.
func runSimulations(w io.Writer, c *cli.Command) error {
	variants := []string{strings.Join(c.StringSlice("set"), "+")}
	if pair := c.StringSlice("compare"); len(pair) > 0 {
		variants = pair
	}
	runs, err := listSimulations(c, variants)
	if err != nil {
		return exitError{error: err, code: exitInput}
	}
	results, err := iter.MapErr(runs, func(r *simulation) (simulation, error) { return r.run() })
	if err != nil {
		return exitError{error: err, code: exitInput}
	}
	switch {
	case c.String("o") == "json":
		return printSimulationsJSON(w, results)
	case len(variants) > 1:
		return printComparison(w, results, variants)
	default:
		return printSimulations(w, results)
	}
}

// listSimulations returns the runs in the order of the output.
func listSimulations(c *cli.Command, variants []string) ([]simulation, error) {
	var out []simulation
	for _, m := range c.StringSlice("mix") {
		for _, l := range valuesOr(c.StringSlice("load"), loadNames()) {
			for _, p := range valuesOr(c.StringSlice("policy"), []string{policySlots}) {
				for _, set := range variants {
					for i := range c.Int("seeds") {
						out = append(out, simulation{Policy: p, Set: set, Load: l, Mix: m, Seed: c.Uint64("seed") + uint64(i)})
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

// run executes the simulation and returns it with its result.
func (s *simulation) run() (simulation, error) {
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
	if err := s.setSchedulers(&o); err != nil {
		return out, err
	}
	out.Result = sim.Run(o)
	return out, nil
}

// setSchedulers configures the schedulers for the policy.
func (s *simulation) setSchedulers(o *sim.Options) error {
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
	o.NewScheduler = func(p fireflypath.Pool, seed uint64) fireflypath.Scheduler { return slots.New(p, seed, alone) }
	switch s.Policy {
	case policySlots:
		o.NewDispatcherScheduler = func(p fireflypath.Pool, seed uint64) dispatcher.Scheduler { return slots.New(p, seed, shared) }
	case policyAlone:
	case policyLeast, policyRoundRobin:
		least := s.Policy == policyLeast
		o.NewScheduler = func(_ fireflypath.Pool, seed uint64) fireflypath.Scheduler { return baseline.New(least, seed) }
	default:
		return errors.Newf("unknown policy %q", s.Policy)
	}
	return nil
}

// shipped stands for the unchanged tuning in a comparison.
const shipped = "shipped"

// tuningObject converts NAME=VALUE+... to a JSON object.
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

func printSimulationsJSON(w io.Writer, results []simulation) error {
	enc := json.NewEncoder(w)
	for _, r := range results {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// group identifies runs that differ only in their seed.
type group struct{ mix, load, policy, set string }

// groupSeeds groups runs that differ only in their seed, preserving the order.
func groupSeeds(results []simulation) (order []group, bySeed map[group][]simulation) {
	bySeed = map[group][]simulation{}
	for _, r := range results {
		g := group{r.Mix, r.Load, r.Policy, r.Set}
		if bySeed[g] == nil {
			order = append(order, g)
		}
		bySeed[g] = append(bySeed[g], r)
	}
	return order, bySeed
}

func printSimulations(w io.Writer, results []simulation) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(tw, "mix\tload\tpolicy\tworth\twhole\tworst 2 s\tworst class\tagain\tin time\tlate\trefused\tfailed\tleft\t"); err != nil {
		return err
	}
	order, bySeed := groupSeeds(results)
	for _, g := range order {
		mean := func(metric func(*simulation) float64) float64 { return stat.Mean(values(bySeed[g], metric), nil) }
		fraction := func(count func(*sim.Kind) int) func(*simulation) float64 {
			return func(r *simulation) float64 {
				n, sent := 0, 0
				for i := range r.Kinds {
					n += count(&r.Kinds[i])
					sent += r.Kinds[i].Sent
				}
				return float64(n) / float64(max(sent, 1))
			}
		}
		if _, err := fmt.Fprintf(tw, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", g.mix, g.load, g.policy,
			mean(func(r *simulation) float64 { return r.Worth }), mean(func(r *simulation) float64 { return r.Whole }),
			mean(func(r *simulation) float64 { return r.Window }), mean(func(r *simulation) float64 { return r.Class }),
			mean(func(r *simulation) float64 { return r.RefusalPenalty }),
			mean(fraction(func(k *sim.Kind) int { return k.InTime })), mean(fraction(func(k *sim.Kind) int { return k.Late })),
			mean(fraction(func(k *sim.Kind) int { return k.Refused })), mean(fraction(func(k *sim.Kind) int { return k.Failed })),
			mean(fraction(func(k *sim.Kind) int { return k.CallerLeft }))); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func values(runs []simulation, metric func(*simulation) float64) []float64 {
	out := make([]float64, 0, len(runs))
	for i := range runs {
		out = append(out, metric(&runs[i]))
	}
	return out
}

// confidenceFactor is the half-width of a 95% confidence interval of a mean in standard
// errors.
const confidenceFactor = 1.96

// printComparison prints the paired differences between the second and the first variant.
func printComparison(w io.Writer, results []simulation, variants []string) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintf(tw, "mix\tload\tpolicy\t%s\t%s\tdifference\t95 in 100\t\n", variants[0], variants[1]); err != nil {
		return err
	}
	worth := func(r *simulation) float64 { return r.Worth }
	order, bySeed := groupSeeds(results)
	var all []float64
	for _, g := range order {
		if g.set != variants[0] {
			continue
		}
		other := g
		other.set = variants[1]
		a, b := values(bySeed[g], worth), values(bySeed[other], worth)
		differences := make([]float64, len(a))
		for i := range a {
			differences[i] = b[i] - a[i]
		}
		all = append(all, differences...)
		if err := printDifference(tw, g, stat.Mean(a, nil), stat.Mean(b, nil), differences); err != nil {
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

func printDifference(w io.Writer, g group, meanA, meanB float64, differences []float64) error {
	mean, sd := stat.MeanStdDev(differences, nil)
	_, err := fmt.Fprintf(w, "%s\t%s\t%s\t%.4f\t%.4f\t%+.4f\t±%.4f\t\n", g.mix, g.load, g.policy, meanA, meanB, mean,
		confidenceFactor*sd/math.Sqrt(float64(len(differences))))
	return err
}
