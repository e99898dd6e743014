package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// Room describes what is waiting in a service and why. cluster.Room documents its fields.
type Room struct {
	Service string `json:"service"`
	Decider string `json:"decider"`
	RoomCounts
	Priorities []struct {
		Priority int `json:"priority"`
		RoomCounts
	} `json:"priorities"`
	Workspaces []struct {
		Workspace string `json:"workspace"`
		RoomCounts
	} `json:"workspaces"`
	OtherWorkspaces struct {
		Workspaces int `json:"workspaces"`
		RoomCounts
	} `json:"other_workspaces"`
	Running int `json:"running"`
	Memory  struct {
		EngineTokens int `json:"engine_tokens"`
		UsedTokens   int `json:"used_tokens"`
		CopyTokens   int `json:"copy_tokens"`
		FreeTokens   int `json:"free_tokens"`
	} `json:"memory"`
	Engines struct {
		Listed        int     `json:"listed"`
		Cordoned      int     `json:"cordoned"`
		Usable        int     `json:"usable"`
		Prefilling    int     `json:"prefilling"`
		Slow          int     `json:"slow"`
		Measured      int     `json:"measured"`
		PrefillMicros []int64 `json:"prefill_us_per_1000_tokens"`
	} `json:"engines"`
	VMs []struct {
		ID       string `json:"id"`
		Endpoint string `json:"endpoint"`
		Zone     string `json:"zone"`
		Ready    bool   `json:"ready"`
		Cordoned bool   `json:"cordoned"`
		AgeMS    int64  `json:"age_ms"`
	} `json:"vms"`
	Ages struct {
		ReportsMS int64 `json:"reports_ms"`
		SpeedsMS  int64 `json:"speeds_ms"`
		ListMS    int64 `json:"list_ms"`
	} `json:"ages"`
}

// RoomCounts counts streams.
type RoomCounts struct {
	Waiting       int   `json:"waiting"`
	Interrupted   int   `json:"interrupted"`
	Late          int   `json:"late"`
	LongestWaitMS int64 `json:"longest_wait_ms"`
	Granted       int   `json:"granted"`
	Refused       int   `json:"refused"`
}

// Room returns the state of a service, decoded and as it was sent, which may have more fields.
func (o *Operator) Room(ctx context.Context, service string) (out Room, raw json.RawMessage, err error) {
	if err := o.call(ctx, http.MethodGet, "/v1/room/"+url.PathEscape(service), nil, nil, &raw); err != nil {
		return out, nil, err
	}
	if err := json.Unmarshal(raw, &out); err != nil {
		return out, raw, Error.Wrap(err)
	}
	return out, raw, nil
}
