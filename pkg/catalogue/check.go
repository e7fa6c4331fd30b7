package catalogue

import (
	"bytes"
	"encoding/json"
	"strings"
)

// checkEdit returns an *InvalidError when the kind, the name or the object of the edit is invalid.
func checkEdit(e *Edit) error {
	k := ObjectKey{Kind: e.Kind, Name: e.Name}
	if e.Name == "" {
		return &InvalidError{Key: k, Field: "Name", Want: "a name that is not empty"}
	}
	check, known := objectChecks[e.Kind]
	if !known {
		return &InvalidError{Key: k, Field: "Kind", Want: "Workspace, Profile, Version, Rollout, Zone, Upstream or Service"}
	}
	if e.Remove {
		return nil
	}
	return check(k, e.Object)
}

// objectChecks has the check of an encoded object by its kind.
var objectChecks = map[Kind]func(ObjectKey, []byte) error{
	KindWorkspace: checkWorkspace,
	KindProfile:   checkProfile,
	KindVersion:   checkVersion,
	KindRollout:   checkRollout,
	KindZone:      checkZone,
	KindUpstream:  checkUpstream,
	KindService:   checkService,
}

// decodeObject decodes the object into v, refusing unknown fields and a name other than that of the edit.
func decodeObject(k ObjectKey, raw []byte, v any, name func() string) error {
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

func checkFraction(k ObjectKey, field string, v float64) error {
	if !(v >= 0 && v <= 1) {
		return &InvalidError{Key: k, Field: field, Want: "a number from 0 to 1"}
	}
	return nil
}

func checkNotNegative(k ObjectKey, field string, v float64) error {
	if !(v >= 0) {
		return &InvalidError{Key: k, Field: field, Want: "a number that is not negative"}
	}
	return nil
}

func checkVersionID(k ObjectKey, field string, id VersionID) error {
	model, version, found := strings.Cut(string(id), "@")
	if !found || model == "" || version == "" {
		return &InvalidError{Key: k, Field: field, Want: "an id of the form model@version"}
	}
	return nil
}

func checkVersionIDs(k ObjectKey, ids []VersionID) error {
	for _, id := range ids {
		if err := checkVersionID(k, "Versions", id); err != nil {
			return err
		}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkWorkspace(k ObjectKey, raw []byte) error {
	var w Workspace
	if err := decodeObject(k, raw, &w, func() string { return w.Name }); err != nil {
		return err
	}
	if len(w.KeyDigest) != 64 {
		return &InvalidError{Key: k, Field: "KeyDigest", Want: "64 hexadecimal digits of a SHA-256"}
	}
	return firstError(
		checkVersionIDs(k, w.Versions),
		checkNotNegative(k, "MaxInFlight", float64(w.MaxInFlight)),
		checkNotNegative(k, "RequestsPerSecond", w.RequestsPerSecond),
	)
}

func checkProfile(k ObjectKey, raw []byte) error {
	var p Profile
	if err := decodeObject(k, raw, &p, func() string { return p.Name }); err != nil {
		return err
	}
	return firstError(
		checkFraction(k, "Quality", p.Quality),
		checkFraction(k, "Explore", p.Explore),
		checkNotNegative(k, "MaxCost", float64(p.MaxCost)),
		checkNotNegative(k, "Deadline", float64(p.Deadline)),
		checkVersionIDs(k, p.Versions),
	)
}

func checkVersion(k ObjectKey, raw []byte) error {
	var v Version
	if err := decodeObject(k, raw, &v, func() string { return string(v.ID) }); err != nil {
		return err
	}
	for _, q := range v.Quality {
		if err := checkFraction(k, "Quality", q); err != nil {
			return err
		}
	}
	return firstError(
		checkVersionID(k, "ID", v.ID),
		checkNotNegative(k, "InputCost", float64(v.InputCost)),
		checkNotNegative(k, "OutputCost", float64(v.OutputCost)),
	)
}

func checkRollout(k ObjectKey, raw []byte) error {
	var r Rollout
	if err := decodeObject(k, raw, &r, func() string { return r.Model }); err != nil {
		return err
	}
	if r.From.Model() != r.Model || r.To.Model() != r.Model {
		return &InvalidError{Key: k, Field: "To", Want: "two versions of the model"}
	}
	return firstError(checkVersionID(k, "From", r.From), checkVersionID(k, "To", r.To), checkFraction(k, "Share", r.Share))
}

func checkZone(k ObjectKey, raw []byte) error {
	var z Zone
	return decodeObject(k, raw, &z, func() string { return z.Name })
}

func checkUpstream(k ObjectKey, raw []byte) error {
	var u UpstreamRule
	if err := decodeObject(k, raw, &u, func() string { return u.Name }); err != nil {
		return err
	}
	return firstError(
		checkNotNegative(k, "ColdLimit", float64(u.ColdLimit)),
		checkNotNegative(k, "WarmLimit", float64(u.WarmLimit)),
	)
}

func checkService(k ObjectKey, raw []byte) error {
	var s Service
	if err := decodeObject(k, raw, &s, func() string { return s.Name }); err != nil {
		return err
	}
	return checkNotNegative(k, "Deadline", float64(s.Deadline))
}
