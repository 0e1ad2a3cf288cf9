package policy

// What the module in scheduler.go keeps, and small helpers. No decision is taken here.
