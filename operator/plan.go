package operator

import (
	"context"
	"net/http"
)

// Planner explains what the fleet planner would do now. The daemon implements it.
type Planner interface {
	// PlanNow plans from what this node sees. Nothing is carried out.
	PlanNow(ctx context.Context) *PlanResponse
}

// PlanResponse is the answer to GET /v1/plan.
type PlanResponse struct {
	Waves []WaveProgress `json:"waves"` // sorted by name
	Steps []PlanStep     `json:"steps"`
	Waits []PlanStep     `json:"waits"` // without a kind: what cannot go on, and why
}

// WaveProgress is how far a maintenance wave is.
type WaveProgress struct {
	Name       string `json:"name"`
	Pool       string `json:"pool"`
	Total      int    `json:"total"` // VMs of the pool
	Finished   int    `json:"finished"`
	Failed     int    `json:"failed"`
	Active     int    `json:"active"` // VMs in maintenance now
	Paused     bool   `json:"paused,omitempty"`
	StopReason string `json:"stopReason,omitempty"`
}

// PlanStep is a step that is due, or a reason for waiting. VM is empty when it concerns the whole wave, Wave for a move.
type PlanStep struct {
	Kind   string `json:"kind,omitempty"`
	Wave   string `json:"wave,omitempty"`
	VM     string `json:"vm,omitempty"`
	Reason string `json:"reason"`
}

func (s *service) plan(ctx context.Context) (*PlanResponse, error) {
	if s.Planner == nil {
		return &PlanResponse{Waves: []WaveProgress{}, Steps: []PlanStep{}, Waits: []PlanStep{}}, nil
	}
	return s.Planner.PlanNow(ctx), nil
}

// Plan returns what the fleet planner would do now, as the answering node sees it.
func (c *Client) Plan(ctx context.Context) (*PlanResponse, error) {
	return call[PlanResponse](ctx, c, http.MethodGet, c.url(nil, "plan"), nil)
}
