/** Detection and quarantine of poison requests, under which targets crash. */
package org.gatereel.core.poison;
