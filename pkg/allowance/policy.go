// Package allowance enforces the token limit of every client account across all VMs.
//
// A limit applies within a sliding window. The VM that holds the lease of an account is the home of
// the account (Home). It lends tokens to the VMs, which spend them on the requests that they admit
// without a call to the home for each request; unspent tokens expire after tokenTTL. With every
// request for tokens a VM reports all that it has spent within the window, so a new home has complete
// figures as soon as every VM has reported to it. Until then it relies on the record that the previous
// home stored with the lease. A VM that cannot reach the home of an account may go on spending within
// what its last reply from the home left it, or at an even share of the limit (fallback).
package allowance

import (
	"time"
)

// Limit is the limit of one client account.
type Limit struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate  float64
	Burst float64
}

// Policy defines how limits are applied. It is the same for all client accounts.
type Policy struct {
	// Window is the length of the sliding window, within which an account may use
	// Rate * Window + Burst tokens.
	Window time.Duration
	// Overage and Slack are what the deployment tolerates within a window on top of that: Overage is
	// a share of it, Slack a number of tokens.
	Overage float64
	Slack   float64
}

const (
	// lendableOverageShare is the share of the tolerated overage that homes lend. Requests that use it
	// yield to all others. The rest covers spending that the home of the account cannot count.
	lendableOverageShare = 0.65
	// fallbackOverageShare is the share of the tolerated overage that all VMs together may spend while
	// they cannot reach the home of the account, even if the home has lent all that it may lend. What
	// neither share uses covers requests that ran twice.
	fallbackOverageShare = 0.15
	// fallbackBurst is the time whose worth of tokens, at the fallback rate, a VM may spend at once
	// while it cannot reach the home of the account.
	fallbackBurst = time.Second
)

// windowLimit returns the tokens that an account may use within a window by its limit alone.
func (p Policy) windowLimit(l Limit) float64 { return l.Rate*p.Window.Seconds() + l.Burst }

// toleratedOverage returns the tokens that the deployment tolerates within a window on top of the limit.
func (p Policy) toleratedOverage(l Limit) float64 { return p.windowLimit(l)*p.Overage + p.Slack }

// lendable returns the most tokens that a home lends within a window.
func (p Policy) lendable(l Limit) float64 {
	return p.windowLimit(l) + lendableOverageShare*p.toleratedOverage(l)
}

// fallbackReserve returns the tokens that all VMs together may spend within a window while they cannot
// reach the home of the account, on top of what was lent.
func (p Policy) fallbackReserve(l Limit) float64 { return fallbackOverageShare * p.toleratedOverage(l) }

// fallbackRate returns the tokens per second that one of n VMs may spend while it has no recent reply
// from the home of the account: an even share of the limit.
func (p Policy) fallbackRate(l Limit, n int) float64 {
	return p.windowLimit(l) / p.Window.Seconds() / float64(max(n, 1))
}
