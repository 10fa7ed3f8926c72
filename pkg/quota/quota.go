// Package quota limits the tokens that each client account spends, to a rate and a burst that apply to the
// whole fleet.
//
// Every client account has a home: the VM that holds the account's lease and keeps its token bucket. The
// homes grant tokens in batches to the VMs of the fleet, which admit requests with them and give back what
// they do not spend. Granted tokens expire after a short time, so that a new home can account for them even if
// a VM does not respond.
package quota

import (
	"context"
	"time"
)

// Admitter admits requests within the rate and burst of their client account.
type Admitter interface {
	// Admit spends tokens of the account. It may wait for tokens from the account's home. On refusal it
	// returns a *result.Error with the outcome not-run: over-rate (with RetryAfter), over-burst, no-owner or
	// not-allowed.
	Admit(ctx context.Context, account string, tokens int64) error
	// Return gives back tokens that an admitted request did not use.
	Return(account string, tokens int64)
}

// Returner is an Admitter that can take the time of admission into account when tokens are given back. The
// more recent the admission, the more of the unused tokens can be spent again.
type Returner interface {
	Admitter
	// ReturnSince gives back tokens that a request admitted at the given time did not use.
	ReturnSince(account string, tokens int64, admitted time.Time)
}

// Limit is a client account's rate and burst.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// GrantRequest is a VM's request to an account's home for tokens. It also reports the balance of the VM.
type GrantRequest struct {
	Account string
	// VM, Incarnation and Seq identify the request, so that a late reply can be distinguished from the
	// expected one.
	VM          string
	Incarnation string
	Seq         uint64
	// Want is the number of tokens asked for, Need the smallest number that is of use.
	Want int64
	Need int64
	// Returned is the number of unspent tokens given back with this request.
	Returned int64
	// Held is the number of unspent tokens that the VM keeps.
	Held int64
	// Accepted is the Seq of the last reply that the VM has accepted. It accepts no reply to an older
	// request any more.
	Accepted uint64
	// Fencing is the fencing number of the home whose stamps the refunds carry.
	Fencing uint64
	// Refunds are tokens that admitted requests did not use.
	Refunds []Refund
}

// Refund is a number of tokens that admitted requests did not use.
type Refund struct {
	Tokens int64
	// Since is the stamp of a reply that the VM had accepted before it admitted the requests.
	Since time.Duration
}

// GrantReply is the reply of an account's home to a GrantRequest.
type GrantReply struct {
	// Seq is that of the request.
	Seq uint64
	// Fencing is the fencing number of the home's lease.
	Fencing uint64
	// Tokens is the number of tokens granted.
	Tokens int64
	// Stamp is the time of the reply, counted from when the home started the account's bucket.
	Stamp time.Duration
	// RetryAfter is the time until Need tokens are expected to be available, if Tokens is less than Need.
	RetryAfter time.Duration
	// Wait is set if the account is not known to be over its rate: tokens are missing because other VMs hold
	// them, or because the home has taken over from another. The VM asks again.
	Wait bool
	// Usable is the number of tokens that the account may spend from now on in the whole fleet, by its rate
	// and burst alone. It is set if Tokens is less than Need.
	Usable int64
	// NotHome is set if the request could not be served, usually because the called VM is not the account's
	// home.
	NotHome bool
}

// HeldRequest notifies a VM that an account has a new home, and asks for the VM's balance.
type HeldRequest struct {
	Account string
	// Fencing is the fencing number of the new home. The VM refuses grants with lower ones from now on.
	Fencing uint64
}

// HeldReply is the reply to a HeldRequest.
type HeldReply struct {
	Incarnation string
	// Held is the number of unspent tokens that the VM holds.
	Held int64
}
