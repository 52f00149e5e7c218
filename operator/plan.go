package operator

import (
	"context"
	"net/http"
)

// Planner computes the current maintenance plan. The daemon implements it.
type Planner interface {
	// PlanNow returns the plan that follows from this node's current state, without executing any of it.
	PlanNow(ctx context.Context) *PlanResponse
}

// PlanResponse is the response to GET /v1/plan.
type PlanResponse struct {
	Waves   []WaveProgress `json:"waves"` // sorted by name
	Steps   []PlanStep     `json:"steps"`
	Waiting []PlanStep     `json:"waits"` // VMs and waves that cannot proceed, with the reason; Kind is empty
}

// WaveProgress is the progress of a maintenance wave.
type WaveProgress struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	Total         int    `json:"total"` // number of VMs in the pool
	Finished      int    `json:"finished"`
	Failed        int    `json:"failed"`
	InMaintenance int    `json:"active"` // number of VMs in maintenance now
	Paused        bool   `json:"paused,omitempty"`
	StopReason    string `json:"stopReason,omitempty"`
}

// PlanStep is a step that is due, or a VM or wave that waits. VM is empty if the step concerns the whole wave, Wave is empty
// if it moves a VM to another pool.
type PlanStep struct {
	Kind   string `json:"kind,omitempty"`
	Wave   string `json:"wave,omitempty"`
	VM     string `json:"vm,omitempty"`
	Reason string `json:"reason"`
}

func (s *service) plan(ctx context.Context) (*PlanResponse, error) {
	if s.Planner == nil {
		return &PlanResponse{Waves: []WaveProgress{}, Steps: []PlanStep{}, Waiting: []PlanStep{}}, nil
	}
	return s.Planner.PlanNow(ctx), nil
}

// Plan returns the current maintenance plan as seen by the responding node.
func (c *Client) Plan(ctx context.Context) (*PlanResponse, error) {
	return call[PlanResponse](ctx, c, http.MethodGet, c.url(nil, "plan"), nil)
}
