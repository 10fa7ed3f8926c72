package owner

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/mallowlink/mallowlink/pkg/peer"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Work"

const (
	// callTimeout bounds a call to a remote owner, except Next.
	callTimeout = 3 * time.Second
	// nextTimeout bounds a call of Next, which waits for events at the owner.
	nextTimeout = callTimeout + work.NextWait
)

// Target identifies the process that a call is meant for. A process of another incarnation refuses the call.
type Target struct {
	Incarnation string
}

// Fault carries a *result.Error over net/rpc. Code 0 means no error.
type Fault struct {
	Code       result.Code
	Outcome    result.Outcome
	Detail     string
	RetryAfter time.Duration
	// WrongTarget means that the call was refused because it was meant for another incarnation.
	WrongTarget bool
}

// SubmitArgs are the arguments of Service.Submit.
type SubmitArgs struct {
	Target  Target
	Request work.Request
}

// AttemptArgs are the arguments of Service.Withdraw and Service.Cancel.
type AttemptArgs struct {
	Target Target
	ID     work.AttemptID
}

// NextArgs are the arguments of Service.Next.
type NextArgs struct {
	Target Target
	ID     work.AttemptID
	From   uint64
}

// NextReply is the reply of Service.Next.
type NextReply struct {
	Events []work.Event
	Fault  Fault
}

// WithdrawReply is the reply of Service.Withdraw.
type WithdrawReply struct {
	Outcome result.Outcome
	Fault   Fault
}

// Service makes a work.Owner available to other VMs over net/rpc.
type Service struct {
	owner       work.Owner
	incarnation string
}

// NewService returns the net/rpc service of owner. It refuses calls for other incarnations.
func NewService(owner work.Owner, incarnation string) *Service {
	return &Service{owner: owner, incarnation: incarnation}
}

func (s *Service) check(target Target) (Fault, bool) {
	if target.Incarnation == s.incarnation {
		return Fault{}, true
	}
	return Fault{WrongTarget: true}, false
}

// Submit queues an attempt.
func (s *Service) Submit(args SubmitArgs, reply *Fault) error {
	fault, ok := s.check(args.Target)
	if !ok {
		*reply = fault
		return nil
	}
	*reply = faultOf(s.owner.Submit(context.Background(), &args.Request))
	return nil
}

// Next waits for events of an attempt and returns them.
func (s *Service) Next(args NextArgs, reply *NextReply) error {
	fault, ok := s.check(args.Target)
	if !ok {
		reply.Fault = fault
		return nil
	}
	events, err := s.owner.Next(context.Background(), args.ID, args.From)
	reply.Events = events
	reply.Fault = faultOf(err)
	return nil
}

// Withdraw ends an attempt that has not started and returns the outcome known so far.
func (s *Service) Withdraw(args AttemptArgs, reply *WithdrawReply) error {
	fault, ok := s.check(args.Target)
	if !ok {
		reply.Fault = fault
		return nil
	}
	outcome, err := s.owner.Withdraw(context.Background(), args.ID)
	reply.Outcome = outcome
	reply.Fault = faultOf(err)
	return nil
}

// Cancel ends an idempotent attempt.
func (s *Service) Cancel(args AttemptArgs, reply *Fault) error {
	fault, ok := s.check(args.Target)
	if !ok {
		*reply = fault
		return nil
	}
	*reply = faultOf(s.owner.Cancel(context.Background(), args.ID))
	return nil
}

func faultOf(err error) Fault {
	if err == nil {
		return Fault{}
	}
	var known *result.Error
	if !errors.As(err, &known) {
		known = result.New(result.Internal, err.Error())
	}
	return Fault{Code: known.Code, Outcome: known.Outcome, Detail: known.Detail, RetryAfter: known.RetryAfter}
}

// ErrWrongTarget means that another incarnation responded at the owner's address.
var ErrWrongTarget = errors.New("owner: another incarnation answers")

func (f Fault) err() error {
	if f.WrongTarget {
		return ErrWrongTarget
	}
	if f.Code == 0 {
		return nil
	}
	return &result.Error{Code: f.Code, Outcome: f.Outcome, Detail: f.Detail, RetryAfter: f.RetryAfter}
}

// remote is a client of the work.Owner in one incarnation of another VM.
type remote struct {
	peerClient peer.Client
	address    string
	target     Target
}

func (r *remote) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.peerClient.Call(ctx, r.address, ServiceName+"."+method, args, reply)
}

// Submit implements work.Owner.
func (r *remote) Submit(ctx context.Context, req *work.Request) error {
	var fault Fault
	args := SubmitArgs{Target: r.target, Request: *req}
	if err := r.call(ctx, callTimeout, "Submit", args, &fault); err != nil {
		return err
	}
	return fault.err()
}

// Next implements work.Owner.
func (r *remote) Next(ctx context.Context, id work.AttemptID, from uint64) ([]work.Event, error) {
	var reply NextReply
	args := NextArgs{Target: r.target, ID: id, From: from}
	if err := r.call(ctx, nextTimeout, "Next", args, &reply); err != nil {
		return nil, err
	}
	return reply.Events, reply.Fault.err()
}

// Withdraw implements work.Owner.
func (r *remote) Withdraw(ctx context.Context, id work.AttemptID) (result.Outcome, error) {
	var reply WithdrawReply
	args := AttemptArgs{Target: r.target, ID: id}
	if err := r.call(ctx, callTimeout, "Withdraw", args, &reply); err != nil {
		return result.MayHaveRun, err
	}
	if err := reply.Fault.err(); err != nil {
		return result.MayHaveRun, err
	}
	return reply.Outcome, nil
}

// Cancel implements work.Owner.
func (r *remote) Cancel(ctx context.Context, id work.AttemptID) error {
	var fault Fault
	if err := r.call(ctx, callTimeout, "Cancel", AttemptArgs{Target: r.target, ID: id}, &fault); err != nil {
		return err
	}
	return fault.err()
}
