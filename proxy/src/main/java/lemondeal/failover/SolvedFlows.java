package lemondeal.failover;

import java.util.List;

/**
 * The fourth stage of the compiler: which zones serve each origin's demand in each case.
 *
 * @param loads for each case, in the order of {@code cases}, the load by origin and zone in the policy's unit; rows
 *     that are unchanged from the normal case are the same arrays
 */
record SolvedFlows(PolicyModel model, FailureCases cases, List<double[][]> loads) {}
