package client

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthshelf/amaranthshelf/internal/explain"
	"github.com/amaranthshelf/amaranthshelf/internal/plan"
	"github.com/amaranthshelf/amaranthshelf/internal/result"
)

// Timings of an operator's client. An address gets longer to answer than a
// change of leader takes; a change is resent over all addresses until it is
// answered, always with the same Idempotency-Key, so it is made once.
const (
	operatorTimeout = 10 * time.Second
	waitTimeout     = 70 * time.Second // ?wait=in-force
	operatorRounds  = 5
	operatorPause   = 200 * time.Millisecond
)

// Operator calls the operators' API. Addresses are tried in order, each failure
// moving on to the next. It is not safe for concurrent use.
type Operator struct {
	addrs []string
	token string
	who   string
	http  *http.Client
}

// NewOperator returns an Operator. who is its name in the history.
func NewOperator(addrs []string, token, who string) *Operator {
	return &Operator{addrs: addrs, token: token, who: who, http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}}}
}

// Written is the answer to a change.
type ChangeResult struct {
	Name         string `json:"name"`
	Version      uint64 `json:"version"`
	ListsVersion uint64 `json:"lists_version"`
	InForce      bool   `json:"in_force"`
}

// Change is a change of a row. IfMatch 0 creates it.
type Change struct {
	List    string // "plans" or "allowances"
	Name    string
	Row     any // nil removes it
	IfMatch uint64
	Key     string // Idempotency-Key; empty: a new one
	Wait    bool   // until it is in force
}

// Do makes a change.
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

// Plans returns the first list and the version of both lists.
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

// Allowances returns the second list.
func (o *Operator) Allowances(ctx context.Context) ([]plan.AllowanceRow, error) {
	var out struct {
		Rows []plan.AllowanceRow `json:"allowances"`
	}
	err := o.call(ctx, http.MethodGet, "/v1/allowances", nil, nil, &out)
	return out.Rows, err
}

// PlanRow is a row of the first list, with what the workspace has in use.
type PlanRow struct {
	plan.CustomerRow
	Use plan.Usage `json:"use"`
}

// Plan returns a row of the first list.
func (o *Operator) Plan(ctx context.Context, workspace string) (out PlanRow, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/plans/"+url.PathEscape(workspace), nil, nil, &out)
}

// Allowance returns a row of the second list.
func (o *Operator) Allowance(ctx context.Context, name string) (out plan.AllowanceRow, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/allowances/"+url.PathEscape(name), nil, nil, &out)
}

// HistoryEntry is one change of a row.
type HistoryEntry struct {
	Version uint64   `json:"version"`
	AtMS    int64    `json:"at_ms"`
	Who     string   `json:"who"`
	What    string   `json:"what"`
	Name    string   `json:"name"`
	Diff    []string `json:"diff"`
}

// History returns the changes of a row, newest first.
func (o *Operator) History(ctx context.Context, list, name string) ([]HistoryEntry, error) {
	var out struct {
		History []HistoryEntry `json:"history"`
	}
	err := o.call(ctx, http.MethodGet, "/v1/"+list+"/"+url.PathEscape(name)+"/history", nil, nil, &out)
	return out.History, err
}

// Status returns the answer of GET /v1/status as it came.
func (o *Operator) Status(ctx context.Context) (out json.RawMessage, err error) {
	return out, o.call(ctx, http.MethodGet, "/v1/status", nil, nil, &out)
}

// Explanation is what was decided for a request.
type Explanation struct {
	Workspace string         `json:"workspace"`
	Request   string         `json:"request_id"`
	Notes     []explain.Note `json:"notes"`
	Missing   []string       `json:"unreachable_vms,omitempty"`
}

// Explain returns what was decided for a request.
func (o *Operator) Explain(ctx context.Context, workspace, request string) (out Explanation, err error) {
	path := "/v1/explain/" + url.PathEscape(request) + "?workspace=" + url.QueryEscape(workspace)
	return out, o.call(ctx, http.MethodGet, path, nil, nil, &out)
}

// call tries each address in turn until one gives a final answer. An answer
// that says nothing about the outcome is not final.
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
			case <-time.After(operatorPause):
			}
		}
		err = o.once(ctx, o.addrs[try%len(o.addrs)], method, path, header, body, out)
		var coded *result.Error
		if err == nil || errors.As(err, &coded) && coded.Code < 3000 || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (o *Operator) once(ctx context.Context, addr, method, path string, header http.Header, body []byte, out any) error {
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
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return fmt.Errorf("client: %s: %w", addr, err)
	}
	return nil
}
