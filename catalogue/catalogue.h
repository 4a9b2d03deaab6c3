#pragma once

/// Public header of the catalogue library: the published configuration and the registered targets.

#include "catalogue/copy_progress.h"
#include "catalogue/evacuation_set.h"
#include "catalogue/routing_configuration.h"
#include "catalogue/store_era.h"
#include "catalogue/target_catalogue.h"
