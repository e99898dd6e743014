package demo

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
)

// routedLimit bounds the routed scene.
const routedLimit = 30 * time.Second

// zoneDies runs a routed system of its own and loses the zone that a stream's
// engine is in.
func (s *system) zoneDies(ctx context.Context) Scene {
	scene := Scene{Name: "zone dies", What: "a routed stream whose engine is lost with all engines of its zone"}
	got, err := loseZone(ctx)
	if err == nil && (!got.Complete || !routedlocal.HasAllEvents(got.EventIDs, routedlocal.Events)) {
		err = errors.New("an event is missing or came twice")
	}
	scene.Tokens, scene.ResumeMS = len(got.EventIDs), ms(got.LongestPause)
	scene.OK, scene.Check = err == nil, "each event came once, in order"
	if err != nil {
		scene.Check = err.Error()
	}
	return scene
}

func loseZone(ctx context.Context) (routedlocal.StreamResult, error) {
	ctx, cancel := context.WithTimeout(ctx, routedLimit)
	defer cancel()
	r, err := routedlocal.Start()
	if err != nil {
		return routedlocal.StreamResult{}, err
	}
	defer r.Stop()
	if err := r.PutStreamRoute(ctx, 1, "/summaries/"); err != nil {
		return routedlocal.StreamResult{}, err
	}
	if err := r.Ready(ctx); err != nil {
		return routedlocal.StreamResult{}, err
	}
	return routedlocal.Stream(ctx, r.CallerAddresses[0], "/summaries/unit-12", "demo-routed", 0, func(n int) {
		if n == routedlocal.Events/3 {
			r.Net.KillZoneOf("demo-routed")
		}
	})
}
