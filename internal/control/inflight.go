package control

import (
	"context"
	"sync"
)

// The load pattern. A command takes seconds to commit: it is large, links are slow. Its
// proposer gives the attempt up and sends the command again, an operator without an
// answer asks another VM, and the leader appends a copy for each. The copies share the
// links with the first one, so that it takes longer still, and more are sent.
//
// So whoever brings a proposal that is under way waits for the outcome of the first.

// flights are the proposals under way on a leader, by id. Safe for concurrent use.
type inflightProposals struct {
	mu   sync.Mutex
	byID map[string]*inflightProposal
}

// flight is one proposal under way.
type inflightProposal struct {
	done chan struct{}
	out  reply // once done is closed
}

// join runs propose, unless the proposal is under way already, and waits for its
// outcome. The proposal goes on if ctx ends before.
func (f *inflightProposals) join(ctx context.Context, id string, propose func() reply) reply {
	f.mu.Lock()
	proposal := f.byID[id]
	if proposal == nil {
		proposal = &inflightProposal{done: make(chan struct{})}
		if f.byID == nil {
			f.byID = map[string]*inflightProposal{}
		}
		f.byID[id] = proposal
		go f.run(id, proposal, propose)
	}
	f.mu.Unlock()
	return proposal.wait(ctx)
}

func (f *inflightProposals) run(id string, proposal *inflightProposal, propose func() reply) {
	proposal.out = propose()
	f.mu.Lock()
	delete(f.byID, id)
	f.mu.Unlock()
	close(proposal.done)
}

// wait waits for the outcome of a proposal; ok is false where it is not under way.
func (f *inflightProposals) wait(ctx context.Context, id string) (out reply, ok bool) {
	f.mu.Lock()
	proposal := f.byID[id]
	f.mu.Unlock()
	if proposal == nil {
		return reply{}, false
	}
	return proposal.wait(ctx), true
}

func (proposal *inflightProposal) wait(ctx context.Context) reply {
	select {
	case <-proposal.done:
		return proposal.out
	case <-ctx.Done():
		return reply{Status: statusUnknown}
	}
}
