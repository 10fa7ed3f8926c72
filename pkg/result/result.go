// Package result holds the numbered codes that mallowlink ends requests with.
package result

import (
	"fmt"
	"time"
)

// Outcome says whether a request that was not answered whole has run at an endpoint.
type Outcome string

// Outcomes.
const (
	NotRun     Outcome = "not-run"
	MayHaveRun Outcome = "may-have-run"
	Ran        Outcome = "ran"
)

// Code is the number of a result. Codes are listed in the table in codes.go and in
// docs/RESULT-CODES.md, and are never given another meaning.
type Code int

// Error is a request's end other than a whole answer.
type Error struct {
	Code    Code
	Outcome Outcome
	// Detail is shown to the caller. It never holds a key.
	Detail string
	// RetryAfter is when the caller should come back; 0 if not known.
	RetryAfter time.Duration
}

// Error returns the code, its name, the outcome and the detail.
func (e *Error) Error() string {
	return fmt.Sprintf("%d %s (%s): %s", e.Code, e.Code.Name(), e.Outcome, e.Detail)
}

// New returns an Error with the code's own outcome.
func New(code Code, detail string) *Error {
	return &Error{Code: code, Outcome: code.Info().Outcome, Detail: detail}
}
