package reservation

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	interleavings = 1200
	// firstSeed begins the fixed seeds of the interleavings.
	firstSeed = 20261203
	// checkLimit bounds the check of one history.
	checkLimit = 20 * time.Second
)

// asked is one request and what its caller got; times are in milliseconds of the bubble.
type asked struct {
	id, key, body string
	from, to      clock.Millis
	told          told
}

// scene is one interleaving: its requests, and the runs by key.
type scene struct {
	asked []asked
	runs  map[string][]string
}

// play runs one interleaving that the seed decides: instances are frozen, killed and replaced, log calls fail in all
// ways, the log goes down and is trimmed, while requests under few keys arrive at all instances.
func play(seed uint64) scene {
	s := newSim(seed)
	s.chaos = []int{0, 10, 30, 60}[s.roll(4, "chaos")]
	names := []string{"a", "b", "c"}[:2+s.roll(2, "instances")]
	var instances []*instance
	current := map[string]*instance{}
	for _, name := range names {
		current[name] = s.start(name, 1)
		instances = append(instances, current[name])
	}
	s.sleep(1500)
	keys := []string{s.keyNow("table"), s.keyNow("rug")}[:1+s.roll(2, "keys")]

	var mu sync.Mutex
	var out scene
	var wg sync.WaitGroup
	for n := range 4 + s.roll(5, "requests") {
		id := fmt.Sprintf("r%d", n)
		key := keys[s.roll(len(keys), "key %s", id)]
		body := []string{"for six", "for six", "for six", "for six", "for seven"}[s.roll(5, "body %s", id)]
		name := names[s.roll(len(names), "at %s", id)]
		start := s.roll(8, "burst %s", id) * s.roll(9000, "start %s", id) / 7
		what := []send{sendRuns, sendRuns, sendRuns, sendRefusedUnrun, sendRunsAnswerLost, sendLost}[s.roll(6, "send %s", id)]
		pause := []int{0, 5, 50, 4000, 6000}[s.roll(5, "pause %s", id)]
		gone := s.roll(6, "gone %s", id) == 0
		wg.Go(func() {
			s.sleep(start)
			mu.Lock()
			at := current[name]
			mu.Unlock()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c := at.call(id, key, body)
			if gone {
				c.Writer.(*page).gone = true
				leave := time.AfterFunc(time.Duration(s.roll(2000, "leave %s", id))*time.Millisecond, cancel)
				defer leave.Stop()
			}
			a := asked{id: id, key: key, body: body, from: s.clk.Now()}
			a.told = at.askCall(ctx, c, at.upstream(what, pause))
			a.to = s.clk.Now()
			mu.Lock()
			defer mu.Unlock()
			out.asked = append(out.asked, a)
		})
	}
	for n := range s.roll(4, "troubles") {
		wg.Go(func() {
			s.sleep(s.roll(9000, "trouble %d", n))
			name := names[s.roll(len(names), "trouble at %d", n)]
			mu.Lock()
			at := current[name]
			mu.Unlock()
			switch s.roll(5, "trouble kind %d", n) {
			case 0, 1:
				at.freeze([]int{100, 3000, 6000, 40000}[s.roll(4, "freeze %d", n)])
			case 2:
				at.kill()
				s.sleep(s.roll(3000, "restart %d", n))
				mu.Lock()
				if current[name] == at {
					current[name] = s.start(name, 2)
					instances = append(instances, current[name])
				}
				mu.Unlock()
			case 3:
				s.setDown(true)
				s.sleep(s.roll(15000, "down %d", n))
				s.setDown(false)
			case 4:
				s.trim(s.roll(3, "trim %d", n))
			}
		})
	}
	wg.Wait()
	s.sleep(30000)
	mu.Lock()
	stop(instances...)
	mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	out.runs = s.runs
	return out
}

// broken returns what of the promises the scene breaks, or "".
func (s scene) broken() string {
	for key, runs := range s.runs {
		if len(runs) > 1 {
			return fmt.Sprintf("key %s ran %d times, for %v", key, len(runs), runs)
		}
	}
	for _, a := range s.asked {
		ran := slices.Contains(s.runs[a.key], a.id)
		switch {
		case a.told.Outcome == request.NotRun && ran:
			return fmt.Sprintf("request %s was told NotRun (%s) and ran", a.id, a.told.Reason)
		case a.told.Answer != "" && !slices.Contains(s.runs[a.key], a.told.Answer):
			return fmt.Sprintf("request %s got the answer of %s, which did not run under its key", a.id, a.told.Answer)
		case a.told.Answer != "" && !a.told.Replayed && a.told.Answer != a.id:
			return fmt.Sprintf("request %s got the answer of %s as its own", a.id, a.told.Answer)
		}
	}
	return ""
}

// claimModel is a register for each key that is written at most once, by the request that runs.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(asked).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		ran, in, out := state.(string), input.(asked), output.(told)
		switch {
		case out.Answer != "" && out.Replayed, out.Reason == request.ReasonAlreadyRan:
			if ran == "" || out.Answer != "" && ran != out.Answer {
				return nil
			}
			return []any{ran}
		case out.Outcome == request.Ran:
			if ran != "" {
				return nil
			}
			return []any{in.id}
		case out.Outcome == request.NotRun:
			return []any{ran}
		case ran == "":
			// It may have run or not.
			return []any{"", in.id}
		default:
			return []any{ran}
		}
	},
}

func (s scene) history() []porcupine.Operation {
	var ops []porcupine.Operation
	for i, a := range s.asked {
		to := int64(a.to)
		if a.told.Dead {
			to = int64(a.to) + int64(3600*clock.Second)
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: a, Call: int64(a.from), Output: a.told, Return: to})
	}
	return ops
}

func TestP09InterleavingsRunEachKeyAtMostOnce(t *testing.T) {
	model := claimModel.ToModel()
	count := map[string]int{}
	for n := range uint64(interleavings) {
		seed := firstSeed + n
		var got scene
		synctest.Test(t, func(*testing.T) { got = play(seed) })
		for _, a := range got.asked {
			switch {
			case a.told.Dead:
				count["dead"]++
			case a.told.Replayed:
				count["replayed"]++
			default:
				count[string(a.told.Outcome)+" "+string(a.told.Reason)]++
			}
		}
		if why := got.broken(); why != "" {
			t.Fatalf("seed %d: %s\n%+v", seed, why, got)
		}
		if res := porcupine.CheckOperationsTimeout(model, got.history(), checkLimit); res != porcupine.Ok {
			t.Fatalf("seed %d: history is %s\n%+v", seed, res, got)
		}
	}
	t.Logf("told: %v", count)
}
