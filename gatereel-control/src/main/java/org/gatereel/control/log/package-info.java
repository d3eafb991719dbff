/** Reads and summarizes the log files of hosts. */
package org.gatereel.control.log;
