package app

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
	"carawayknot.example/carawayknot/pkg/usage"
)

// instanceDuties is the part of the state of an instance on the users' platform that tells of its duties.
type instanceDuties struct {
	Now    clock.Millis
	Duties *struct {
		Lease   duty.Stats
		Usage   *usage.Stats
		Standby bool
	}
}

func (t *Tool) dutyCommand(k *kingpin.Application) {
	cmd := k.Command("duty", "Show who holds the duties toward the users' platform, as an instance there sees it.")
	base := cmd.Arg("instance", "URL of the admin address of the instance, such as http://10.0.0.1:9464.").Required().String()
	cmd.Action(action(func(ctx context.Context) error { return t.showDuties(ctx, *base) }))
}

func (t *Tool) showDuties(ctx context.Context, base string) error {
	s, err := readDuties(ctx, strings.TrimSuffix(base, "/")+"/state")
	if err != nil {
		return err
	}
	if s.Duties == nil {
		return &exitError{code: ExitFailed, cause: errors.New("the platform of this instance asks for no duties")}
	}
	d := s.Duties
	row := []string{dashIfEmpty(d.Lease.Holder), fmt.Sprint(d.Lease.Token), fmt.Sprintf("%.1f s", (s.Now - d.Lease.Since).Seconds()), yesOrNo(d.Lease.Held), yesOrNo(d.Standby)}
	header := []string{"HOLDER", "TOKEN", "KNOWN FOR", "HELD HERE", "STANDBY"}
	if u := d.Usage; u != nil {
		header = append(header, "NEXT WINDOW", "PENDING", "REPORTED", "MISSED", "INCOMPLETE")
		row = append(row, fmt.Sprint(u.Next), fmt.Sprint(u.Pending), fmt.Sprint(u.Sent), fmt.Sprint(u.Missed), fmt.Sprint(u.Incomplete))
	}
	return t.print(d, header, [][]string{row})
}

// readDuties reads the state of an instance, which needs no key.
func readDuties(ctx context.Context, url string) (*instanceDuties, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, &exitError{code: ExitUsage, cause: err}
	}
	resp, err := (&http.Client{Timeout: adminCallTimeout.Duration()}).Do(req)
	if err != nil {
		return nil, &exitError{code: ExitUnreachable, cause: errors.Wrap(err, "no response; try another instance")}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &exitError{code: ExitFailed, cause: errors.Newf("status %d", resp.StatusCode)}
	}
	s := &instanceDuties{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(s); err != nil {
		return nil, &exitError{code: ExitFailed, cause: errors.Wrap(err, "unexpected response; check that this is the admin address")}
	}
	return s, nil
}
