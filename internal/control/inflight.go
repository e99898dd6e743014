package control

import (
	"context"
	"sync"
)

// This file answers overload by retries. A command takes seconds to commit because it is
// large and links are slow. Its proposer times out and retries, an operator without an
// answer tries another VM, and the leader appends a copy to the log for each retry. The
// copies share the links with the first one and delay it further, which causes more
// retries.
//
// For this reason a proposal that is already in flight is not appended again: every
// proposer of it waits for the outcome of the first.

// inflightProposals holds the proposals in flight on a leader, by ID. It is safe for
// concurrent use.
type inflightProposals struct {
	mu   sync.Mutex
	byID map[string]*inflightProposal
}

// inflightProposal is one proposal in flight.
type inflightProposal struct {
	done chan struct{}
	out  reply // valid once done is closed
}

// join runs propose unless the proposal is in flight already, and waits for the outcome.
// The proposal continues if ctx ends first.
func (p *inflightProposals) join(ctx context.Context, id string, propose func() reply) reply {
	p.mu.Lock()
	proposal := p.byID[id]
	if proposal == nil {
		proposal = &inflightProposal{done: make(chan struct{})}
		if p.byID == nil {
			p.byID = map[string]*inflightProposal{}
		}
		p.byID[id] = proposal
		go p.run(id, proposal, propose)
	}
	p.mu.Unlock()
	return proposal.wait(ctx)
}

func (p *inflightProposals) run(id string, proposal *inflightProposal, propose func() reply) {
	proposal.out = propose()
	p.mu.Lock()
	delete(p.byID, id)
	p.mu.Unlock()
	close(proposal.done)
}

// wait waits for the outcome of a proposal; ok is false if it is not in flight.
func (p *inflightProposals) wait(ctx context.Context, id string) (out reply, ok bool) {
	p.mu.Lock()
	proposal := p.byID[id]
	p.mu.Unlock()
	if proposal == nil {
		return reply{}, false
	}
	return proposal.wait(ctx), true
}

func (p *inflightProposal) wait(ctx context.Context) reply {
	select {
	case <-p.done:
		return p.out
	case <-ctx.Done():
		return reply{Status: statusUnknown}
	}
}
