package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// placementEvery is how often a controller logs how its partitions use the workers.
const placementEvery = 5 * time.Second

// tellPlacement logs how the workers' room is used, while this node owns any of it.
func (c *Controller) tellPlacement(work context.Context) {
	ticker := time.NewTicker(placementEvery)
	defer ticker.Stop()
	for {
		select {
		case <-work.Done():
			return
		case <-ticker.C:
			if page := c.control.Page.Load(); page != nil && len(page.Owned) > 0 {
				c.log.Info("placement", zap.Any("places", page.Placement))
			}
		}
	}
}
