package demo

import (
	"context"
	"errors"
	"fmt"
	"slices"
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

// routerDies starts a routed system with engines of two versions, and kills the router of a stream.
// The caller reconnects at another router.
func (s *system) routerDies(ctx context.Context) Scene {
	scene := Scene{Name: "two versions", What: "a routed stream whose router is lost while engines of two versions serve", Reconnects: 1}
	began, rest, err := streamThroughRouterLoss(ctx)
	ids := slices.Concat(began.EventIDs, rest.EventIDs)
	switch {
	case err != nil:
	case !rest.Complete || !routedlocal.HasAllEvents(ids, routedlocal.Events):
		err = errors.New("an event is missing or came twice")
	case !slices.Equal(began.Versions, rest.Versions):
		err = fmt.Errorf("version %v began it, and %v went on", began.Versions, rest.Versions)
	}
	scene.Tokens = len(ids)
	scene.OK, scene.Check = err == nil, fmt.Sprintf("each event came once, in order, and from version %v", began.Versions)
	if err != nil {
		scene.Check = err.Error()
	}
	return scene
}

func streamThroughRouterLoss(ctx context.Context) (began, rest routedlocal.StreamResult, err error) {
	ctx, cancel := context.WithTimeout(ctx, routedTimeout)
	defer cancel()
	r, err := routedlocal.StartHolding(0)
	if err != nil {
		return began, rest, err
	}
	defer r.Stop()
	if err := errors.Join(r.AddVersion("v1", 2), r.AddVersion("v2", 3), r.PutList(ctx, routedlocal.MixedRoutes()), r.Ready(ctx)); err != nil {
		return began, rest, err
	}
	began, err = routedlocal.StreamRequest{Addr: r.CallerAddresses[0], Path: "/s/unit-12", ID: "demo-first", Seen: func(n int) {
		if n == routedlocal.Events/3 {
			r.Routers[0].Close()
		}
	}}.Do(ctx)
	if err != nil {
		return began, rest, err
	}
	rest, err = routedlocal.StreamRequest{
		Addr: r.CallerAddresses[1], Path: "/s/unit-12", ID: "demo-second", After: len(began.EventIDs), FirstAttempt: "demo-first",
	}.Do(ctx)
	return began, rest, err
}
