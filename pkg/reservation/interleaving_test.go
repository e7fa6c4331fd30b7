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
	interleavingCount = 1200
	// firstSeed is the seed of the first interleaving; the others count up from it.
	firstSeed = 20261203
	// checkTimeout bounds the linearizability check of one history.
	checkTimeout = 20 * time.Second
)

// operation is one request and its result; times are those of the fake clock.
type operation struct {
	id, key, body        string
	calledAt, returnedAt clock.Millis
	result               result
}

// interleaving has the operations of one simulation, and the IDs of the requests that ran by key.
type interleaving struct {
	operations []operation
	runs       map[string][]string
}

// simulate runs the interleaving that the seed determines: instances are frozen, killed and replaced, log calls fail in
// every way, and the log becomes unavailable or is trimmed, while requests with one or two keys arrive at all instances.
func simulate(seed uint64) interleaving {
	s := newSim(seed)
	s.faultPercent = []int{0, 10, 30, 60}[s.intn(4, "chaos")]
	names := []string{"a", "b", "c"}[:2+s.intn(2, "instances")]
	var instances []*instance
	current := map[string]*instance{}
	for _, name := range names {
		current[name] = s.start(name, 1)
		instances = append(instances, current[name])
	}
	s.sleep(1500)
	keys := []string{s.newKey("table"), s.newKey("rug")}[:1+s.intn(2, "keys")]

	var mu sync.Mutex
	var out interleaving
	var wg sync.WaitGroup
	for n := range 4 + s.intn(5, "requests") {
		id := fmt.Sprintf("r%d", n)
		key := keys[s.intn(len(keys), "key %s", id)]
		body := []string{"for six", "for six", "for six", "for six", "for seven"}[s.intn(5, "body %s", id)]
		name := names[s.intn(len(names), "at %s", id)]
		start := s.intn(8, "burst %s", id) * s.intn(9000, "start %s", id) / 7
		behavior := []upstreamBehavior{upstreamRuns, upstreamRuns, upstreamRuns, upstreamRefuses, upstreamRunsAnswerLost, upstreamLosesRequest}[s.intn(6, "send %s", id)]
		pause := []int{0, 5, 50, 4000, 6000}[s.intn(5, "pause %s", id)]
		callerGone := s.intn(6, "gone %s", id) == 0
		wg.Go(func() {
			s.sleep(start)
			mu.Lock()
			inst := current[name]
			mu.Unlock()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c := inst.call(id, key, body)
			if callerGone {
				c.Writer.(*callerWriter).closed = true
				timer := time.AfterFunc(time.Duration(s.intn(2000, "leave %s", id))*time.Millisecond, cancel)
				defer timer.Stop()
			}
			op := operation{id: id, key: key, body: body, calledAt: s.clk.Now()}
			op.result = inst.submitCall(ctx, c, inst.upstream(behavior, pause))
			op.returnedAt = s.clk.Now()
			mu.Lock()
			defer mu.Unlock()
			out.operations = append(out.operations, op)
		})
	}
	for n := range s.intn(4, "troubles") {
		wg.Go(func() {
			s.sleep(s.intn(9000, "trouble %d", n))
			name := names[s.intn(len(names), "trouble at %d", n)]
			mu.Lock()
			inst := current[name]
			mu.Unlock()
			switch s.intn(5, "trouble kind %d", n) {
			case 0, 1:
				inst.freeze([]int{100, 3000, 6000, 40000}[s.intn(4, "freeze %d", n)])
			case 2:
				inst.kill()
				s.sleep(s.intn(3000, "restart %d", n))
				mu.Lock()
				if current[name] == inst {
					current[name] = s.start(name, 2)
					instances = append(instances, current[name])
				}
				mu.Unlock()
			case 3:
				s.setDown(true)
				s.sleep(s.intn(15000, "down %d", n))
				s.setDown(false)
			case 4:
				s.trim(s.intn(3, "trim %d", n))
			}
		})
	}
	wg.Wait()
	s.sleep(30000)
	mu.Lock()
	stopAll(instances...)
	mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	out.runs = s.runs
	return out
}

// violation describes the first violated guarantee, or returns "".
func (in interleaving) violation() string {
	for key, runs := range in.runs {
		if len(runs) > 1 {
			return fmt.Sprintf("key %s ran %d times, for %v", key, len(runs), runs)
		}
	}
	for _, op := range in.operations {
		ran := slices.Contains(in.runs[op.key], op.id)
		switch {
		case op.result.Outcome == request.NotRun && ran:
			return fmt.Sprintf("request %s was reported as NotRun (%s) but ran", op.id, op.result.Reason)
		case op.result.Answer != "" && !slices.Contains(in.runs[op.key], op.result.Answer):
			return fmt.Sprintf("request %s got the answer of %s, which did not run with its key", op.id, op.result.Answer)
		case op.result.Answer != "" && !op.result.Replayed && op.result.Answer != op.id:
			return fmt.Sprintf("request %s got the answer of %s without the replay header", op.id, op.result.Answer)
		}
	}
	return ""
}

// claimModel models each key as a write-once register that holds the ID of the request that ran.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
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
		ran, in, out := state.(string), input.(operation), output.(result)
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
			// The request may have run or not.
			return []any{"", in.id}
		default:
			return []any{ran}
		}
	},
}

func (in interleaving) history() []porcupine.Operation {
	var ops []porcupine.Operation
	for i, op := range in.operations {
		returnAt := int64(op.returnedAt)
		if op.result.Dead {
			returnAt = int64(op.returnedAt) + int64(3600*clock.Second)
		}
		ops = append(ops, porcupine.Operation{ClientId: i, Input: op, Call: int64(op.calledAt), Output: op.result, Return: returnAt})
	}
	return ops
}

func TestP09InterleavingsRunEachKeyAtMostOnce(t *testing.T) {
	model := claimModel.ToModel()
	count := map[string]int{}
	for n := range uint64(interleavingCount) {
		seed := firstSeed + n
		var got interleaving
		synctest.Test(t, func(*testing.T) { got = simulate(seed) })
		for _, op := range got.operations {
			switch {
			case op.result.Dead:
				count["dead"]++
			case op.result.Replayed:
				count["replayed"]++
			default:
				count[string(op.result.Outcome)+" "+string(op.result.Reason)]++
			}
		}
		if violation := got.violation(); violation != "" {
			t.Fatalf("seed %d: %s\n%+v", seed, violation, got)
		}
		if res := porcupine.CheckOperationsTimeout(model, got.history(), checkTimeout); res != porcupine.Ok {
			t.Fatalf("seed %d: linearizability check returned %s\n%+v", seed, res, got)
		}
	}
	t.Logf("results: %v", count)
}
