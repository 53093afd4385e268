package lemondeal.failover;

import java.util.List;

/**
 * The fourth stage: where each origin's demand goes in each case.
 *
 * @param loads for each of the cases, in their order, the load by origin and zone, in the policy's unit; rows of a case
 *     that are as in the normal case are the same array
 */
record SolvedFlows(PolicyModel model, FailureCases cases, List<double[][]> loads) {}
