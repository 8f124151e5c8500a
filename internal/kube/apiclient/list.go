package apiclient

import (
	"context"
	"encoding/json"
	"iter"
	"maps"
	"net/url"
	"strconv"

	metav1 "k8s.io/apimachinery/pkg/apis/meta/v1"
)

// Page is one page of a list.
type Page struct {
	Kind     string            `json:"kind"` // kind of the list, such as PodList
	Metadata metav1.ListMeta   `json:"metadata"`
	Items    []json.RawMessage `json:"items"`
}

// ListPages returns an iterator over the pages of the collection at path. The query selects objects, and
// each page has at most limit objects. The iteration ends after the first error.
func (c *Client) ListPages(ctx context.Context, path string, query url.Values, limit int) iter.Seq2[*Page, error] {
	return func(yield func(*Page, error) bool) {
		pageQuery := url.Values{}
		maps.Copy(pageQuery, query)
		pageQuery.Set("limit", strconv.Itoa(limit))
		for {
			page := &Page{}
			if err := c.Get(ctx, path+"?"+pageQuery.Encode(), page); err != nil {
				yield(nil, err)
				return
			}
			if !yield(page, nil) || page.Metadata.Continue == "" {
				return
			}
			pageQuery.Set("continue", page.Metadata.Continue)
		}
	}
}
