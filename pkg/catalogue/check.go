package catalogue

import (
	"bytes"
	"encoding/json"
	"strings"
)

// checkEdit returns an *InvalidError when the object of the edit can't be used.
func checkEdit(e *Edit) error {
	k := ObjectKey{Kind: e.Kind, Name: e.Name}
	if e.Name == "" {
		return &InvalidError{Key: k, Field: "Name", Want: "a name that is not empty"}
	}
	check, known := checks[e.Kind]
	if !known {
		return &InvalidError{Key: k, Field: "Kind", Want: "Workspace, Profile, Version, Rollout, Zone, Upstream or Service"}
	}
	if e.Remove {
		return nil
	}
	return check(k, e.Object)
}

var checks = map[Kind]func(ObjectKey, []byte) error{
	KindWorkspace: checkWorkspace,
	KindProfile:   checkProfile,
	KindVersion:   checkVersion,
	KindRollout:   checkRollout,
	KindZone:      checkZone,
	KindUpstream:  checkUpstream,
	KindService:   checkService,
}

// decode reads the object strictly and checks that it bears the name of the edit.
func decode(k ObjectKey, raw []byte, v any, name func() string) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return &InvalidError{Key: k, Field: "Object", Want: "a JSON object with known fields only: " + err.Error()}
	}
	if name() != k.Name {
		return &InvalidError{Key: k, Field: "Name", Want: "the name of the edit"}
	}
	return nil
}

func share(k ObjectKey, field string, v float64) error {
	if !(v >= 0 && v <= 1) {
		return &InvalidError{Key: k, Field: field, Want: "a number from 0 to 1"}
	}
	return nil
}

func notNegative(k ObjectKey, field string, v float64) error {
	if !(v >= 0) {
		return &InvalidError{Key: k, Field: field, Want: "a number that is not negative"}
	}
	return nil
}

func versionID(k ObjectKey, field string, id VersionID) error {
	model, version, found := strings.Cut(string(id), "@")
	if !found || model == "" || version == "" {
		return &InvalidError{Key: k, Field: field, Want: "an id of the form model@version"}
	}
	return nil
}

func versionIDs(k ObjectKey, ids []VersionID) error {
	for _, id := range ids {
		if err := versionID(k, "Versions", id); err != nil {
			return err
		}
	}
	return nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkWorkspace(k ObjectKey, raw []byte) error {
	var w Workspace
	if err := decode(k, raw, &w, func() string { return w.Name }); err != nil {
		return err
	}
	if len(w.KeyDigest) != 64 {
		return &InvalidError{Key: k, Field: "KeyDigest", Want: "64 hexadecimal digits of a SHA-256"}
	}
	return first(
		versionIDs(k, w.Versions),
		notNegative(k, "MaxInFlight", float64(w.MaxInFlight)),
		notNegative(k, "RequestsPerSecond", w.RequestsPerSecond),
	)
}

func checkProfile(k ObjectKey, raw []byte) error {
	var p Profile
	if err := decode(k, raw, &p, func() string { return p.Name }); err != nil {
		return err
	}
	return first(
		share(k, "Quality", p.Quality),
		share(k, "Explore", p.Explore),
		notNegative(k, "MaxCost", float64(p.MaxCost)),
		notNegative(k, "Deadline", float64(p.Deadline)),
		versionIDs(k, p.Versions),
	)
}

func checkVersion(k ObjectKey, raw []byte) error {
	var v Version
	if err := decode(k, raw, &v, func() string { return string(v.ID) }); err != nil {
		return err
	}
	for _, q := range v.Quality {
		if err := share(k, "Quality", q); err != nil {
			return err
		}
	}
	return first(
		versionID(k, "ID", v.ID),
		notNegative(k, "InputCost", float64(v.InputCost)),
		notNegative(k, "OutputCost", float64(v.OutputCost)),
	)
}

func checkRollout(k ObjectKey, raw []byte) error {
	var r Rollout
	if err := decode(k, raw, &r, func() string { return r.Model }); err != nil {
		return err
	}
	if r.From.Model() != r.Model || r.To.Model() != r.Model {
		return &InvalidError{Key: k, Field: "To", Want: "two versions of the model"}
	}
	return first(versionID(k, "From", r.From), versionID(k, "To", r.To), share(k, "Share", r.Share))
}

func checkZone(k ObjectKey, raw []byte) error {
	var z Zone
	return decode(k, raw, &z, func() string { return z.Name })
}

func checkUpstream(k ObjectKey, raw []byte) error {
	var u UpstreamRule
	if err := decode(k, raw, &u, func() string { return u.Name }); err != nil {
		return err
	}
	return first(
		notNegative(k, "ColdLimit", float64(u.ColdLimit)),
		notNegative(k, "WarmLimit", float64(u.WarmLimit)),
	)
}

func checkService(k ObjectKey, raw []byte) error {
	var s Service
	if err := decode(k, raw, &s, func() string { return s.Name }); err != nil {
		return err
	}
	return notNegative(k, "Deadline", float64(s.Deadline))
}
