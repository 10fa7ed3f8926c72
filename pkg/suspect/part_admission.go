package suspect

import (
	"context"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
)

// AdmitParts decides whether a request with the parts in its prompt may be sent to an endpoint. With Refuse, held is the part that
// forbids it. With Wait, the decision is due soon. trial is the fingerprint of the held part that the request may be sent with as
// a trial, 0 if there is none: it is passed as granted until the request has been sent.
func (d *Detector) AdmitParts(ctx context.Context, parts []string, granted uint64) (decision Decision, held HeldPart, trial uint64) {
	decision, list := d.cfg.Parts.Admit(time.Now(), parts)
	if decision == Allow {
		return Allow, HeldPart{}, granted
	}
	if len(list) == 1 && (list[0].Fingerprint == granted || d.tryPart(ctx, list[0])) {
		return Allow, HeldPart{}, list[0].Fingerprint
	}
	if decision == Wait {
		return Wait, HeldPart{}, 0
	}
	held = list[0]
	d.cfg.Parts.CountRefusal(held.Fingerprint)
	d.metrics.partsRefused.Inc(1)
	return Refuse, held, 0
}

// tryPart reports whether a request may be sent as a trial of a held part.
func (d *Detector) tryPart(ctx context.Context, held HeldPart) bool {
	if !d.cfg.Parts.AskTrial(time.Now(), held.Fingerprint) {
		return false
	}
	if !d.requestPartTrial(ctx, held.Fingerprint) {
		return false
	}
	d.cfg.Log.WithFields(held.logFields("part_tried")).Info("request with a held prompt part allowed as a trial")
	return true
}

// PartsServed records that an endpoint has completed its answer to a request with the parts in its prompt, which shows that the parts
// do not crash every endpoint. id is the request's identifier, for the log.
func (d *Detector) PartsServed(id, account string, parts []string) {
	if len(parts) == 0 {
		return
	}
	cleared := d.cfg.Parts.Served(time.Now(), account, parts)
	for _, part := range cleared {
		d.metrics.partsCleared.Inc(1)
		fields := part.logFields("part_cleared")
		fields["id"], fields["was_held"] = id, part.WasHeld
		d.cfg.Log.WithFields(fields).Info("endpoint has completed its answer to a request with the part; its crashes are cleared")
	}
	if len(cleared) > 0 {
		d.onPartChange()
	}
}

// HeldParts returns the held parts.
func (d *Detector) HeldParts() []HeldPart { return d.cfg.Parts.Held(time.Now()) }

// PartState describes a held part in a state dump. Durations are texts.
type PartState struct {
	Part      string   `json:"part"`
	Crashes   int      `json:"crashes"`
	SeenBy    []string `json:"seen_by"`
	LastCrash string   `json:"last_crash"`
	HeldFor   string   `json:"held_for"`
	Trials    int      `json:"trials"`
	NextTrial string   `json:"next_trial"`
	Refused   int64    `json:"refused"`
}

// PartStates returns the held parts for a state dump.
func (d *Detector) PartStates() []PartState {
	list := []PartState{}
	for _, h := range d.HeldParts() {
		text := func(t time.Duration) string { return t.Round(time.Millisecond).String() }
		list = append(list, PartState{
			Part: h.Part, Crashes: h.Crashes, SeenBy: h.SeenBy, LastCrash: text(h.Age), HeldFor: text(h.HeldFor),
			Trials: h.Trials, NextTrial: text(h.NextTrial), Refused: h.Refusals,
		})
	}
	return list
}

// The path and the parameter of the operators' command that releases a part.
const (
	ReleasePath          = "/suspects/release"
	ReleasePartParameter = "part"
)

// ReleasePart clears a part of its crashes on all VMs, on behalf of an operator. It reports whether there were any.
func (d *Detector) ReleasePart(part string) bool {
	if !d.cfg.Parts.Release(time.Now(), part) {
		return false
	}
	d.cfg.Log.WithFields(logrus.Fields{"event": "part_released", "part": part}).Warn("operator released a prompt part")
	d.onPartChange()
	return true
}

// logFields returns the log fields for a decision on a part.
func (h HeldPart) logFields(event string) logrus.Fields {
	return logrus.Fields{
		"event": event, "part": h.Part, "fingerprint": FormatFingerprint(h.Fingerprint), "crashes": h.Crashes,
		"seen_by": strings.Join(h.SeenBy, ","), "age": h.Age.Round(time.Millisecond), "trials": h.Trials,
	}
}
