package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/standin/platform"
	"github.com/peppertrail/peppertrail/pkg/storage"
)

// platformClient calls endpoints of the platform stand-in that only the load tool
// uses.
type platformClient struct {
	baseURL string
	http    *http.Client
}

func newPlatformClient(baseURL string, client *http.Client) *platformClient {
	return &platformClient{baseURL: baseURL, http: client}
}

func (c *platformClient) addr() string { return strings.TrimPrefix(c.baseURL, "http://") }

func (c *platformClient) setFaults(ctx context.Context, faults platform.Faults) error {
	return call(ctx, c.http, http.MethodPut, c.baseURL+"/faults", faults, nil)
}

func (c *platformClient) stats(ctx context.Context) (platform.Stats, error) {
	var stats platform.Stats
	err := call(ctx, c.http, http.MethodGet, c.baseURL+"/stats", nil, &stats)
	return stats, err
}

func (c *platformClient) addTarget(ctx context.Context, id, addr string) error {
	return call(ctx, c.http, http.MethodPut, c.baseURL+"/members/"+id, storage.Member{
		ID: id, Kind: storage.TargetMember, Addr: addr, Region: "morbihan", FailureDomain: "place0",
		Service: serviceName, State: storage.MemberLive,
	}, nil)
}

// call sends body as JSON and decodes the response into reply unless reply is nil.
func call(ctx context.Context, client *http.Client, method, url string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode for %s: %w", url, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	req.Header.Set("Content-Type", "application/json")
	response, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, _ := io.ReadAll(response.Body) // if the text cannot be read, the error contains only the status
		return fmt.Errorf("call %s: %s: %s", url, response.Status, bytes.TrimSpace(text))
	}
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(response.Body).Decode(reply); err != nil {
		return fmt.Errorf("reply of %s: %w", url, err)
	}
	return nil
}
