// Package rollout brings the engines of a model pool to what its ModelPool
// declares: models, their versions and adapters, roles, and replicas over zones.
//
// Rules:
//
//   - Level-triggered: each step is planned from what is declared and what is
//     observed now. Nothing depends on the order in which objects came, and an
//     order whose answer was lost is settled by looking again.
//   - Plan is a function of its arguments. Reconciler alone does anything.
//   - One actor a pool: the holder of the lease named by LeaseName. Each order
//     carries its fence, so a paused holder that wakes is refused.
//   - At most one order at a time goes to an engine.
//   - At most ModelPool.MaxWeightLoads engines of a pool load from the weight store
//     at a time. What a former holder began is counted: engines show it.
//   - Replicas that serve a model don't fall under Options.MinServing of those
//     wanted through an order given here, but by one where that would stop all
//     progress.
//   - The status object is written on change only, at most once in
//     Options.StatusInterval.
//
// Lock order: Reconciler has one mutex, a leaf.
package rollout
