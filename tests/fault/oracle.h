/* What the checker needs to know of a cluster. */
#ifndef GUAVAFLOW_TESTS_ORACLE_H
#define GUAVAFLOW_TESTS_ORACLE_H

#include "cluster.h"

const ClusterConfig *Oracle_Config(const Cluster *cluster);

#endif
