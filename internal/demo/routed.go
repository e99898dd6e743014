package demo

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/routedlocal"
)

// routedTimeout bounds each scene that runs a routed system.
const routedTimeout = 30 * time.Second

// zoneDies starts a separate routed system and kills all engines in the zone of a stream's
// engine.
func (s *system) zoneDies(ctx context.Context) Scene {
	scene := Scene{Name: "zone dies", What: "a routed stream whose engine is lost with all engines of its zone"}
	got, err := streamThroughZoneLoss(ctx)
	if err == nil && (!got.Complete || !routedlocal.HasAllEvents(got.EventIDs, routedlocal.Events)) {
		err = errors.New("an event is missing or came twice")
	}
	scene.Tokens, scene.ResumeMS = len(got.EventIDs), millis(got.LongestPause)
	scene.OK, scene.Check = err == nil, "each event came once, in order"
	if err != nil {
		scene.Check = err.Error()
	}
	return scene
}

func streamThroughZoneLoss(ctx context.Context) (routedlocal.StreamResult, error) {
	ctx, cancel := context.WithTimeout(ctx, routedTimeout)
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
