package routed

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/amaranthshelf/amaranthshelf/internal/codec"
	"github.com/amaranthshelf/amaranthshelf/internal/peer"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
	"github.com/amaranthshelf/amaranthshelf/internal/result/resulthttp"
)

// RoomService tells operators what is waiting in a service.
type RoomService interface {
	// Room returns the state of a service's streams as the deciding control VM knows it, as
	// a JSON document: see cluster.Room.
	Room(ctx context.Context, service string) (json.RawMessage, error)
}

// roomRequest asks a control VM for the state of a service. Relayed is set if it has to
// answer by itself: two control VMs may each take the other one for the deciding one.
type roomRequest struct {
	Service string `cbor:"1,keyasint"`
	Relayed bool   `cbor:"2,keyasint,omitempty"`
}

// relayTimeout bounds the call to the deciding control VM. It leaves time for the answer to
// an observer, which waits for voterRequestTimeout.
const relayTimeout = 500 * time.Millisecond

// decider returns the control VM that decides, as this one sees it: the first by id of those
// that answered lately and itself.
func (c *Control) decider() string {
	if vm := c.hub.Decider().Newest.Holder; vm != "" {
		return vm
	}
	return c.o.ID
}

// Room implements RoomService.
func (c *Control) Room(ctx context.Context, service string) (json.RawMessage, error) {
	return c.answerRoom(ctx, roomRequest{Service: service})
}

func (c *Control) serveRoom(ctx context.Context, body []byte) (any, error) {
	var q roomRequest
	if err := codec.Unmarshal(body, &q); err != nil {
		return nil, err
	}
	return c.answerRoom(ctx, q)
}

func (c *Control) answerRoom(ctx context.Context, q roomRequest) (json.RawMessage, error) {
	if vm := c.decider(); vm != c.o.ID && !q.Relayed {
		return c.relayRoom(ctx, vm, q)
	}
	room, ok := c.hub.Room(q.Service)
	if !ok {
		if s := c.memberRunner.current(); s == nil || !s.hasService(q.Service) {
			return nil, result.New(result.UnknownService)
		}
		room.Service = q.Service // listed, and nothing of it runs or waits
	}
	room.Decider = c.o.ID
	return json.Marshal(room)
}

func (c *Control) relayRoom(ctx context.Context, vm string, q roomRequest) (json.RawMessage, error) {
	q.Relayed = true
	asking, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	var out json.RawMessage
	if err := c.network.Call(asking, vm, peer.KindRoom, q, &out); err != nil {
		c.o.Log.Debug().Err(err).Str("control", vm).Msg("deciding control VM did not answer for the state of a service")
		return nil, finalOr(err, result.ControlUnavail)
	}
	return out, nil
}

// Room implements RoomService.
func (v *Observer) Room(ctx context.Context, service string) (json.RawMessage, error) {
	return askVoters[json.RawMessage](ctx, &v.voters, peer.KindRoom, roomRequest{Service: service})
}

func getRoom(w http.ResponseWriter, r *http.Request, c RoomService) error {
	ctx, cancel := context.WithTimeout(r.Context(), operatorCallTimeout)
	defer cancel()
	out, err := c.Room(ctx, mux.Vars(r)["service"])
	if err != nil {
		return err
	}
	resulthttp.WriteJSON(w, out)
	return nil
}
