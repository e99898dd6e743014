package client

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Timeouts and retries of an Operator. The timeout of a request is longer than a change of leader
// takes. A change is retried on all addresses until one answers. All retries have the same
// Idempotency-Key, so the change is made only once.
const (
	operatorTimeout    = 10 * time.Second
	waitTimeout        = 70 * time.Second // ?wait=in-force
	operatorRounds     = 5                // over all addresses
	operatorRetryPause = 200 * time.Millisecond
	maxOperatorBytes   = 64 << 20 // of a response; a route list has 16 MB at most
)

// Operator is a client of the operators' API. It tries the addresses in order until one gives a
// final answer. It is not safe for concurrent use.
type Operator struct {
	addrs []string
	token string
	who   string
	http  *http.Client
}

// NewOperator returns an Operator. An empty token sends no Authorization header. who is the name
// under which the history records the changes.
func NewOperator(addrs []string, token, who string) *Operator {
	return &Operator{addrs: addrs, token: token, who: who, http: &http.Client{Transport: newTransport(1)}}
}

// ChangeResult is the response to a Change. Version is the new version of the row, or 0 if
// the row was removed.
type ChangeResult struct {
	Name         string `json:"name"`
	Version      uint64 `json:"version"`
	ListsVersion uint64 `json:"lists_version"`
	InForce      bool   `json:"in_force"`
}

// Change is a change of one row. The change is made only if the row has version IfMatch; with
// IfMatch 0, only if the row does not exist.
type Change struct {
	List    string // "plans" or "allowances"
	Name    string
	Row     any // nil removes it
	IfMatch uint64
	Key     string // Idempotency-Key; empty: a new one is generated
	Wait    bool   // wait until the change is in force
}

// Do makes a change. A refusal is a *result.Error.
func (o *Operator) Do(ctx context.Context, c Change) (ChangeResult, error) {
	header := http.Header{"Idempotency-Key": {cmp.Or(c.Key, rand.Text())}}
	if c.IfMatch == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", `"`+strconv.FormatUint(c.IfMatch, 10)+`"`)
	}
	method, body := http.MethodPut, []byte(nil)
	if c.Row == nil {
		method = http.MethodDelete
	} else {
		data, err := json.Marshal(c.Row)
		if err != nil {
			return ChangeResult{}, err
		}
		body = data
	}
	path := "/v1/" + c.List + "/" + url.PathEscape(c.Name)
	if c.Wait {
		path += "?wait=in-force"
	}
	var out ChangeResult
	return out, o.call(ctx, method, path, header, body, &out)
}

// Plans returns the rows of the list of plans and the version that both lists share. With wait,
// it waits until that version is in force.
func (o *Operator) Plans(ctx context.Context, wait bool) ([]plan.CustomerRow, uint64, error) {
	var out struct {
		Version uint64             `json:"version"`
		Rows    []plan.CustomerRow `json:"plans"`
	}
	path := "/v1/plans"
	if wait {
		path += "?wait=in-force"
	}
	err := o.call(ctx, http.MethodGet, path, nil, nil, &out)
	return out.Rows, out.Version, err
}

// Allowances returns the rows of the list of allowances.
func (o *Operator) Allowances(ctx context.Context) ([]plan.AllowanceRow, error) {
	var out struct {
		Rows []plan.AllowanceRow `json:"allowances"`
	}
	err := o.call(ctx, http.MethodGet, "/v1/allowances", nil, nil, &out)
	return out.Rows, err
}

// PlanRow is a row of the list of plans with the current usage of its workspace.
type PlanRow struct {
	plan.CustomerRow
	Use plan.Usage `json:"use"`
}

// Plan returns the row of a workspace from the list of plans.
func (o *Operator) Plan(ctx context.Context, workspace string) (out PlanRow, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/plans/"+url.PathEscape(workspace), nil, nil, &out)
}

// Allowance returns the row with this name from the list of allowances.
func (o *Operator) Allowance(ctx context.Context, name string) (out plan.AllowanceRow, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/allowances/"+url.PathEscape(name), nil, nil, &out)
}

// HistoryEntry records one change of a row. Diff has one line per changed field.
type HistoryEntry struct {
	Version uint64   `json:"version"`
	AtMS    int64    `json:"at_ms"`
	Who     string   `json:"who"`
	What    string   `json:"what"`
	Name    string   `json:"name"`
	Diff    []string `json:"diff"`
}

// History returns the changes of a row, newest first. list is "plans" or "allowances".
func (o *Operator) History(ctx context.Context, list, name string) ([]HistoryEntry, error) {
	var out struct {
		History []HistoryEntry `json:"history"`
	}
	err := o.call(ctx, http.MethodGet, "/v1/"+list+"/"+url.PathEscape(name)+"/history", nil, nil, &out)
	return out.History, err
}

// Status returns the response of GET /v1/status as raw JSON.
func (o *Operator) Status(ctx context.Context) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/status", nil, nil, &out)
}

// Explanation holds the decisions that VMs recorded for a request. Missing names the VMs that
// could not be reached.
type Explanation struct {
	Workspace string         `json:"workspace"`
	Request   string         `json:"request_id"`
	Notes     []explain.Note `json:"notes"`
	Missing   []string       `json:"unreachable_vms,omitempty"`
}

// Explain returns the decisions recorded for a request of a workspace.
func (o *Operator) Explain(ctx context.Context, workspace, request string) (out Explanation, err error) {
	path := "/v1/explain/" + url.PathEscape(request) + "?workspace=" + url.QueryEscape(workspace)
	return out, o.call(ctx, http.MethodGet, path, nil, nil, &out)
}

// call tries each address in turn until one gives a final answer. Result codes from 3000
// on are not final: the system was not ready, or the outcome is unknown.
func (o *Operator) call(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	if len(o.addrs) == 0 {
		return errors.New("client: no operator address")
	}
	var err error
	for try := range operatorRounds * len(o.addrs) {
		if try > 0 && try%len(o.addrs) == 0 {
			select {
			case <-ctx.Done():
				return errors.Join(ctx.Err(), err)
			case <-time.After(operatorRetryPause):
			}
		}
		err = o.attempt(ctx, o.addrs[try%len(o.addrs)], method, path, header, body, out)
		var coded *result.Error
		if err == nil || errors.As(err, &coded) && coded.Code < 3000 || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (o *Operator) attempt(ctx context.Context, addr, method, path string, header http.Header, body []byte, out any) error {
	timeout := operatorTimeout
	if strings.Contains(path, "wait=") {
		timeout = waitTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	for k, v := range header {
		r.Header[k] = v
	}
	if o.token != "" {
		r.Header.Set("Authorization", "Bearer "+o.token)
	}
	r.Header.Set("X-Operator", o.who)
	resp, err := o.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return decodeError(resp)
	}
	if err := decode(resp.Body, maxOperatorBytes, out); err != nil {
		return fmt.Errorf("client: response of %s could not be decoded: %w", addr, err)
	}
	return nil
}
