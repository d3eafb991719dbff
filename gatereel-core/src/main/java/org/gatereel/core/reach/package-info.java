/** Knows which targets this host can connect to. */
package org.gatereel.core.reach;
