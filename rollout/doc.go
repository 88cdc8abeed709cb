// Package rollout changes the engines of a model pool until they match its
// ModelPool: the models with their versions and adapters, the roles of the
// engines, and the spread of replicas over zones.
//
// Rules:
//
//   - Reconciliation is level-triggered: each step is planned from the declared
//     and the observed state. Nothing depends on the order in which objects
//     arrive. If the response to an order is lost, the next observation shows
//     whether the order was carried out.
//   - Plan is a pure function of its arguments. Only Reconciler acts.
//   - One process acts on a pool: the holder of the lease that LeaseName names.
//     Each order carries the fence of the lease, so that agents refuse the
//     orders of a holder that was paused beyond the end of its term.
//   - At most one order is in progress for an engine.
//   - At most ModelPool.MaxWeightLoads engines of a pool load from the weight store
//     at a time. Loads that an earlier holder started count too, since the
//     engines report them.
//   - Orders don't reduce the replicas that serve a model below the fraction
//     Options.MinServing of the replicas that have an engine. One replica may
//     always stop, since a model with few replicas could not change otherwise.
//   - The status object is written only if it changes, and at most once per
//     Options.StatusInterval.
//
// Lock order: the mutex of Reconciler is the only lock and a leaf.
package rollout
