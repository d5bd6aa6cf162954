package remote

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/peppertrail/peppertrail/pkg/storage"
)

// ObjectClient implements storage.Objects with the connections of a Client.
type ObjectClient struct {
	client *Client
}

var _ storage.Objects = (*ObjectClient)(nil)

// Put implements storage.Objects.
func (o *ObjectClient) Put(ctx context.Context, key string, data []byte) error {
	_, err := o.client.call(ctx, http.MethodPut, objectPath(key), data)
	return err
}

// Get implements storage.Objects.
func (o *ObjectClient) Get(ctx context.Context, key string) ([]byte, error) {
	data, err := o.client.call(ctx, http.MethodGet, objectPath(key), nil)
	var status *StatusError
	if errors.As(err, &status) && status.Code == http.StatusNotFound {
		return nil, fmt.Errorf("%w: %s", storage.ErrObjectNotFound, key)
	}
	return data, err
}

// objectPath returns the URL path of an object. It escapes each segment of key, so
// that '?', '%' and '#' are part of the path.
func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/objects/" + strings.Join(segments, "/")
}
